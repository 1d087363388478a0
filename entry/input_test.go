package entry_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/entry"
)

func TestParseCompletion(t *testing.T) {
	good := `{"model":"m","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"hi"}]}`
	Convey("A completion request", t, func() {
		ask, err := entry.ParseCompletion([]byte(good), 64)
		So(err, ShouldBeNil)
		So(string(ask.Model), ShouldEqual, "m")
		So(ask.Stream, ShouldBeTrue)
		So(ask.MaxTokens, ShouldEqual, 7)
	})
	bad := map[string]string{
		"not JSON":             `{"model":`,
		"an array":             `[1]`,
		"nothing":              ``,
		"invalid UTF-8":        "{\"model\":\"\xff\"}",
		"no model":             `{"stream":true}`,
		"a doubled name":       `{"model":"a","model":"b"}`,
		"a doubled limit":      `{"model":"a","max_tokens":1,"max_completion_tokens":2}`,
		"a negative limit":     `{"model":"a","max_tokens":-1}`,
		"a zero limit":         `{"model":"a","max_tokens":0}`,
		"a fractional limit":   `{"model":"a","max_tokens":1.5}`,
		"a huge limit":         `{"model":"a","max_tokens":99999999999999999999}`,
		"too many choices":     `{"model":"a","n":1000}`,
		"deep nesting":         `{"model":"a","x":` + strings.Repeat("[", 65) + strings.Repeat("]", 65) + `}`,
		"text after the end":   `{"model":"a"} {"model":"b"}`,
		"a model that is a 1":  `{"model":1}`,
		"a stream that is a 1": `{"model":"a","stream":1}`,
	}
	for name, body := range bad {
		Convey("With "+name+" it is refused", t, func() {
			_, err := entry.ParseCompletion([]byte(body), 64)
			So(err, ShouldNotBeNil)
		})
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":7}`))
	f.Add([]byte(`{"model":"a","x":[{"y":"\""}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ask, err := entry.ParseCompletion(body, 16)
		if err == nil && (ask.Model == "" || ask.MaxTokens < 0 || ask.Choices < 1) {
			t.Fatalf("%q gave %+v", body, ask)
		}
	})
}
