package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/standin"
)

const completionBody = `{"model":"drafts","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`

func bearerHeader(account lovageshift.AccountID) http.Header {
	return http.Header{"Authorization": {"Bearer " + fleet.KeyOf(account)}}
}

func withHeader(header http.Header, name, value string) http.Header {
	header.Add(name, value)
	return header
}

// TestBadRequests expects that each invalid request is refused as not run, for its reason, before it reaches an engine.
func TestBadRequests(t *testing.T) {
	spec := smallSpec()
	spec.ExtraConfig = "[models.other]\n[accounts.narrow]\ntier=\"normal\"\nrate=1000\nburst=50000\nmodels=[\"other\"]\nroutes=[\"lookups\"]\n" +
		"[keys.narrow]\naccount=\"narrow\"\nhash=\"" + secretHash("narrow") + "\"\n" +
		"[keys.gone]\naccount=\"painters\"\nwithdrawn=true\nhash=\"" + secretHash("gone") + "\"\n"
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		chat := "/v1/chat/completions"
		cases := []struct {
			name   string
			path   string
			header http.Header
			body   string
			reason lovageshift.Reason
			status int
		}{
			{"no key", chat, http.Header{}, completionBody, lovageshift.ReasonKeyMissing, 401},
			{"malformed key", chat, http.Header{"Authorization": {"Bearer abc"}}, completionBody, lovageshift.ReasonKeyMalformed, 401},
			{"unknown key", chat, bearerHeader("stranger"), completionBody, lovageshift.ReasonKeyUnknown, 401},
			{"withdrawn key", chat, bearerHeader("gone"), completionBody, lovageshift.ReasonKeyWithdrawn, 401},
			{"two keys", chat, withHeader(bearerHeader("painters"), "Authorization", "Bearer "+fleet.KeyOf("rounds")), completionBody, lovageshift.ReasonKeyMalformed, 401},
			{"internal header", chat, withHeader(bearerHeader("painters"), "Lovageshift-Rank", "1"), completionBody, lovageshift.ReasonHeaderForbidden, 400},
			{"model not allowed", chat, bearerHeader("narrow"), completionBody, lovageshift.ReasonModelForbidden, 403},
			{"route not allowed", "/deposits/x", withHeader(bearerHeader("narrow"), "Idempotency-Key", "k"), "x", lovageshift.ReasonRouteForbidden, 403},
			{"no such model", chat, bearerHeader("painters"), strings.Replace(completionBody, "drafts", "none", 1), lovageshift.ReasonNotFound, 404},
			{"no such adapter", chat, bearerHeader("painters"), strings.Replace(completionBody, "drafts", "drafts:x", 1), lovageshift.ReasonNotFound, 404},
			{"no such path", "/nowhere", bearerHeader("painters"), "", lovageshift.ReasonNotFound, 404},
			{"not JSON", chat, bearerHeader("painters"), "{", lovageshift.ReasonBodyInvalid, 400},
			{"output limit too high", chat, bearerHeader("painters"), strings.Replace(completionBody, ":3", ":100000", 1), lovageshift.ReasonBodyInvalid, 400},
			{"body too large", chat, bearerHeader("painters"), strings.Replace(completionBody, "hi", strings.Repeat("x", 2<<20), 1), lovageshift.ReasonBodyTooLarge, 413},
			{"prompt too long for the model", chat, bearerHeader("painters"), strings.Replace(completionBody, "hi", strings.Repeat("x", 400_000), 1), lovageshift.ReasonPromptTooLong, 413},
			{"no idempotency key", "/deposits/x", bearerHeader("painters"), "x", lovageshift.ReasonIdempotencyKeyMissing, 400},
			{"invalid idempotency key", "/deposits/x", withHeader(bearerHeader("painters"), "Idempotency-Key", "a b"), "x", lovageshift.ReasonIdempotencyKeyInvalid, 400},
		}
		for _, c := range cases {
			reply := f.Entry(0).Call(context.Background(), http.MethodPost, c.path, c.header, c.body)
			if reply.Reason != string(c.reason) || reply.Status != c.status || reply.Outcome != "notRun" {
				t.Errorf("%s: %d %s %s %v", c.name, reply.Status, reply.Reason, reply.Outcome, reply.Err)
			}
		}
		if count := engineRequests(f); count != 0 {
			t.Fatalf("engines got %d requests", count)
		}
		counts := f.Entry(0).Status().Refusals
		for _, c := range cases {
			if counts[string(c.reason)] == 0 {
				t.Errorf("refusal %s is not counted", c.reason)
			}
		}
	})
}

func secretHash(account lovageshift.AccountID) string {
	hash, err := lovageshift.HashSecret(fleet.KeyOf(account))
	if err != nil {
		panic(err)
	}
	return hash.String()
}

// TestMissingOutputLimitGetsDefault expects that an answer without max_tokens ends at the default of 512 tokens.
func TestMissingOutputLimitGetsDefault(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		body := strings.Replace(completionBody, `"max_tokens":3,`, "", 1)
		reply := f.Entry(0).Call(context.Background(), http.MethodPost, "/v1/chat/completions", bearerHeader("painters"), body)
		if reply.Tokens != 512 {
			t.Fatalf("%d tokens", reply.Tokens)
		}
	})
}

// TestFaultyEngines expects that a fault of all engines is reported by its reason as an unknown outcome, not as a
// complete answer.
func TestFaultyEngines(t *testing.T) {
	cases := []struct {
		name   string
		fault  standin.EngineFault
		reason lovageshift.Reason
	}{
		{"malformed answer", standin.EngineFaultMalformed, lovageshift.ReasonEngineAnswerMalformed},
		{"answer too large", standin.EngineFaultTooLarge, lovageshift.ReasonEngineAnswerTooLarge},
		{"no answer", standin.EngineFaultNoResponse, lovageshift.ReasonEngineTimeout},
		{"error answer", standin.EngineFaultServerError, lovageshift.ReasonEngineFailed},
		{"truncated answer", standin.EngineFaultTruncate, lovageshift.ReasonEngineFailed},
	}
	for _, c := range cases {
		for _, nonStreaming := range []bool{false, true} {
			withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
				for _, engine := range f.Engines {
					engine.SetFault(c.fault)
				}
				reply := f.Entry(0).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20, NonStreaming: nonStreaming})
				if reply.EndReceived || reply.Outcome != "unknown" {
					t.Fatalf("%s, non-streaming %v: %+v", c.name, nonStreaming, reply)
				}
				if reply.Tokens >= 20 {
					t.Fatalf("%s: all tokens were received", c.name)
				}
				// An endless answer that is not JSON may be reported as malformed before it exceeds the size limit.
				if reply.Reason != string(c.reason) && c.fault != standin.EngineFaultTooLarge {
					t.Fatalf("%s, non-streaming %v: %s", c.name, nonStreaming, reply.Reason)
				}
			})
		}
	}
}

// TestStreamWithoutEndMarkerIsNotComplete uses engines that omit the end marker and cannot resume a stream.
func TestStreamWithoutEndMarkerIsNotComplete(t *testing.T) {
	spec := smallSpec()
	for i := range spec.Engines {
		spec.Engines[i].Profile.CanResume = false
	}
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		for _, engine := range f.Engines {
			engine.SetFault(standin.EngineFaultNoEndMarker)
		}
		reply := f.Entry(0).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20})
		if reply.EndReceived || reply.Outcome != "unknown" || reply.Reason != string(lovageshift.ReasonEngineFailed) {
			t.Fatalf("%+v", reply)
		}
	})
}

// TestBrokenStreamIsResumed makes each engine truncate one answer; the caller must get a complete one.
func TestBrokenStreamIsResumed(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, engine := range f.Engines {
			engine.SetFault(standin.EngineFaultTruncateOnce)
		}
		request := fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20}
		if reply := f.Entry(0).Complete(context.Background(), request); !reply.Correct(request) {
			t.Fatalf("%+v", reply)
		}
	})
}

// TestDisconnectedCallerCancelsItsStream ends a long stream after 2 s; a second later no agent may still run the
// request.
func TestDisconnectedCallerCancelsItsStream(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		f.Entry(0).Complete(ctx, fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 4000})
		time.Sleep(time.Second)
		for _, id := range f.Targets() {
			if running := f.Agent(id).Status().Running; running != 0 {
				t.Fatalf("%s still runs %d", id, running)
			}
		}
	})
}

// sendRaw writes a raw request to the first entry and returns the first line received within the timeout, or the read
// error if nothing was received.
func sendRaw(t *testing.T, f *fleet.Fleet, request string, timeout time.Duration) string {
	t.Helper()
	conn, err := f.Network.Host("caller").Dial(context.Background(), "127.0.0.1:3000")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil && line == "" {
		return err.Error()
	}
	return line
}

// TestSlowCallers sends a header and a body that are never completed, and then an ambiguous request: one with two
// lengths of its body.
func TestSlowCallers(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", fleet.KeyOf("painters"))
		if got := sendRaw(t, f, head, time.Minute); got != "EOF" && !strings.Contains(got, "408") {
			t.Fatalf("slow header: %q", got)
		}
		if got := sendRaw(t, f, head+"Content-Length: 100\r\n\r\n{\"model\"", time.Minute); !strings.Contains(got, "400") {
			t.Fatalf("slow body: %q", got)
		}
		smuggled := head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
		if got := sendRaw(t, f, smuggled, time.Minute); !strings.Contains(got, "400") {
			t.Fatalf("Content-Length and Transfer-Encoding: %q", got)
		}
		if ran := engineRequests(f); ran != 0 {
			t.Fatalf("engines got %d requests", ran)
		}
	})
}

// TestCallerThatDoesNotRead expects that a stream whose caller reads nothing is aborted within a minute.
func TestCallerThatDoesNotRead(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		conn, err := f.Network.Host("caller").Dial(context.Background(), "127.0.0.1:3000")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		body := `{"model":"drafts","stream":true,"max_tokens":4000,"messages":[{"role":"user","content":"hi"}]}`
		_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			fleet.KeyOf("painters"), len(body), body)
		time.Sleep(time.Minute)
		for _, id := range f.Targets() {
			if running := f.Agent(id).Status().Running; running != 0 {
				t.Fatalf("%s still runs %d", id, running)
			}
		}
		if f.Entry(0).Status().Refusals[string(lovageshift.ReasonSlowCaller)] == 0 {
			t.Fatal("refusal of the slow caller is not counted")
		}
	})
}
