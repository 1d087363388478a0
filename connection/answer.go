package connection

import (
	"bytes"
	"io"
	"net/http"
)

// Encode returns the answer in HTTP/1.1, after which the connection is closed.
func Encode(status int, header http.Header, body string) []byte {
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader([]byte(body))), Close: true,
	}
	var encoded bytes.Buffer
	_ = response.Write(&encoded)
	return encoded.Bytes()
}
