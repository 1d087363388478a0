package entry_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/entry"
)

func TestParseCompletion(t *testing.T) {
	valid := `{"model":"m","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"hi"}]}`
	Convey("A valid completion request is parsed", t, func() {
		request, err := entry.ParseCompletion([]byte(valid), 64)
		So(err, ShouldBeNil)
		So(string(request.Model), ShouldEqual, "m")
		So(request.Stream, ShouldBeTrue)
		So(request.OutputLimit, ShouldEqual, 7)
	})
	invalid := map[string]string{
		"not JSON":              `{"model":`,
		"an array":              `[1]`,
		"an empty body":         ``,
		"invalid UTF-8":         "{\"model\":\"\xff\"}",
		"no model":              `{"stream":true}`,
		"a duplicate name":      `{"model":"a","model":"b"}`,
		"two output limits":     `{"model":"a","max_tokens":1,"max_completion_tokens":2}`,
		"a negative limit":      `{"model":"a","max_tokens":-1}`,
		"a zero limit":          `{"model":"a","max_tokens":0}`,
		"a fractional limit":    `{"model":"a","max_tokens":1.5}`,
		"an overflowing limit":  `{"model":"a","max_tokens":99999999999999999999}`,
		"too many choices":      `{"model":"a","n":1000}`,
		"deep nesting":          `{"model":"a","x":` + strings.Repeat("[", 65) + strings.Repeat("]", 65) + `}`,
		"text after the end":    `{"model":"a"} {"model":"b"}`,
		"a numeric model":       `{"model":1}`,
		"a numeric stream flag": `{"model":"a","stream":1}`,
	}
	for name, body := range invalid {
		Convey("A body is refused ("+name+")", t, func() {
			_, err := entry.ParseCompletion([]byte(body), 64)
			So(err, ShouldNotBeNil)
		})
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":7}`))
	f.Add([]byte(`{"model":"a","x":[{"y":"\""}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := entry.ParseCompletion(body, 16)
		if err == nil && (request.Model == "" || request.OutputLimit < 0 || request.Choices < 1) {
			t.Fatalf("ParseCompletion accepted %q as %+v", body, request)
		}
	})
}
