package delivery

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// CloseUnread makes the server close the connection after the answer, without reading more of the request's body. It must be
// called before the answer is begun. The server keeps the connection open for a moment, so that the caller gets the answer before
// the connection is reset.
func CloseUnread(w http.ResponseWriter) {
	// The server would read on from a body that has not ended, to use the connection again.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	w.Header().Set("Connection", "close")
	// net/http waits before it closes a connection only if MaxBytesReader has reached its limit.
	limited := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = limited.Read(make([]byte, 1))
}
