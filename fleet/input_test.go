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

const completion = `{"model":"drafts","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`

func bearer(account lovageshift.AccountID) http.Header {
	return http.Header{"Authorization": {"Bearer " + fleet.KeyOf(account)}}
}

func with(header http.Header, name, value string) http.Header {
	header.Add(name, value)
	return header
}

func TestBadRequests(t *testing.T) {
	spec := smallSpec()
	spec.ExtraConfig = "[models.other]\n[accounts.narrow]\ntier=\"normal\"\nrate=1000\nburst=50000\nmodels=[\"other\"]\nroutes=[\"lookups\"]\n" +
		"[keys.narrow]\naccount=\"narrow\"\nhash=\"" + hashOf("narrow") + "\"\n" +
		"[keys.gone]\naccount=\"painters\"\nwithdrawn=true\nhash=\"" + hashOf("gone") + "\"\n"
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		chat := "/v1/chat/completions"
		cases := []struct {
			name   string
			path   string
			header http.Header
			body   string
			reason lovageshift.Reason
			status int
		}{
			{"no key", chat, http.Header{}, completion, lovageshift.ReasonKeyMissing, 401},
			{"malformed key", chat, http.Header{"Authorization": {"Bearer abc"}}, completion, lovageshift.ReasonKeyMalformed, 401},
			{"unknown key", chat, bearer("stranger"), completion, lovageshift.ReasonKeyUnknown, 401},
			{"withdrawn key", chat, bearer("gone"), completion, lovageshift.ReasonKeyWithdrawn, 401},
			{"two keys", chat, with(bearer("painters"), "Authorization", "Bearer "+fleet.KeyOf("rounds")), completion, lovageshift.ReasonKeyMalformed, 401},
			{"internal header", chat, with(bearer("painters"), "Lovageshift-Rank", "1"), completion, lovageshift.ReasonHeaderForbidden, 400},
			{"another's model", chat, bearer("narrow"), completion, lovageshift.ReasonModelForbidden, 403},
			{"another's route", "/deposits/x", with(bearer("narrow"), "Idempotency-Key", "k"), "x", lovageshift.ReasonRouteForbidden, 403},
			{"no such model", chat, bearer("painters"), strings.Replace(completion, "drafts", "none", 1), lovageshift.ReasonNotFound, 404},
			{"no such adapter", chat, bearer("painters"), strings.Replace(completion, "drafts", "drafts:x", 1), lovageshift.ReasonNotFound, 404},
			{"no such path", "/nowhere", bearer("painters"), "", lovageshift.ReasonNotFound, 404},
			{"not JSON", chat, bearer("painters"), "{", lovageshift.ReasonBodyInvalid, 400},
			{"huge limit", chat, bearer("painters"), strings.Replace(completion, ":3", ":100000", 1), lovageshift.ReasonBodyInvalid, 400},
			{"too large", chat, bearer("painters"), strings.Replace(completion, "hi", strings.Repeat("x", 2<<20), 1), lovageshift.ReasonBodyTooLarge, 413},
			{"too long for the model", chat, bearer("painters"), strings.Replace(completion, "hi", strings.Repeat("x", 400_000), 1), lovageshift.ReasonPromptTooLong, 413},
			{"no idempotency key", "/deposits/x", bearer("painters"), "x", lovageshift.ReasonIdempotencyKeyMissing, 400},
			{"bad idempotency key", "/deposits/x", with(bearer("painters"), "Idempotency-Key", "a b"), "x", lovageshift.ReasonIdempotencyKeyInvalid, 400},
		}
		for _, c := range cases {
			reply := f.Entry(0).Call(context.Background(), http.MethodPost, c.path, c.header, c.body)
			if reply.Reason != string(c.reason) || reply.Status != c.status || reply.Outcome != "notRun" {
				t.Errorf("%s: %d %s %s %v", c.name, reply.Status, reply.Reason, reply.Outcome, reply.Err)
			}
		}
		if ran := requests(f); ran != 0 {
			t.Fatalf("%d ran", ran)
		}
		counts := f.Entry(0).Status().Refusals
		for _, c := range cases {
			if counts[string(c.reason)] == 0 {
				t.Errorf("%s is not counted", c.reason)
			}
		}
	})
}

func hashOf(account lovageshift.AccountID) string {
	hash, err := lovageshift.HashSecret(fleet.KeyOf(account))
	if err != nil {
		panic(err)
	}
	return hash.String()
}

func TestMissingLimitIsSet(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		body := strings.Replace(completion, `"max_tokens":3,`, "", 1)
		reply := f.Entry(0).Call(context.Background(), http.MethodPost, "/v1/chat/completions", bearer("painters"), body)
		if reply.Tokens != 512 {
			t.Fatalf("%d tokens", reply.Tokens)
		}
	})
}

func TestBadEngines(t *testing.T) {
	cases := []struct {
		name   string
		fault  standin.Fault
		reason lovageshift.Reason
	}{
		{"garbage", standin.FaultMalformed, lovageshift.ReasonEngineAnswerMalformed},
		{"too much", standin.FaultTooLarge, lovageshift.ReasonEngineAnswerTooLarge},
		{"nothing", standin.FaultNoResponse, lovageshift.ReasonEngineTimeout},
		{"an error", standin.FaultError, lovageshift.ReasonEngineFailed},
		{"a truncated answer", standin.FaultTruncate, lovageshift.ReasonEngineFailed},
	}
	for _, c := range cases {
		for _, whole := range []bool{false, true} {
			inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
				for _, engine := range f.Engines {
					engine.SetFault(c.fault)
				}
				reply := f.Entry(0).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20, NonStreaming: whole})
				if reply.EndReceived || reply.Outcome != "unknown" {
					t.Fatalf("%s, whole %v: %+v", c.name, whole, reply)
				}
				if reply.Tokens >= 20 {
					t.Fatalf("%s: all tokens came", c.name)
				}
				// A flood that is no JSON at all is garbage before it is too much.
				if reply.Reason != string(c.reason) && c.fault != standin.FaultTooLarge {
					t.Fatalf("%s, whole %v: %s", c.name, whole, reply.Reason)
				}
			})
		}
	}
}

func TestStreamWithoutItsEndMarkIsNotWhole(t *testing.T) {
	spec := smallSpec()
	for i := range spec.Engines {
		spec.Engines[i].Profile.CanResume = false
	}
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		for _, engine := range f.Engines {
			engine.SetFault(standin.FaultNoEndMarker)
		}
		reply := f.Entry(0).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20})
		if reply.EndReceived || reply.Outcome != "unknown" || reply.Reason != string(lovageshift.ReasonEngineFailed) {
			t.Fatalf("%+v", reply)
		}
	})
}

func TestBrokenStreamIsResumed(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, engine := range f.Engines {
			engine.SetFault(standin.FaultTruncateOnce)
		}
		ask := fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20}
		if reply := f.Entry(0).Complete(context.Background(), ask); !reply.Correct(ask) {
			t.Fatalf("%+v", reply)
		}
	})
}

func TestLeavingCallerCancelsItsStream(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
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

// rawConn writes text to an entry and returns the first line of what comes back within the time.
func rawConn(t *testing.T, f *fleet.Fleet, text string, within time.Duration) string {
	t.Helper()
	conn, err := f.Network.Host("caller").Dial(context.Background(), "127.0.0.1:3000")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil && line == "" {
		return err.Error()
	}
	return line
}

func TestSlowCallers(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", fleet.KeyOf("painters"))
		if got := rawConn(t, f, head, time.Minute); got != "EOF" && !strings.Contains(got, "408") {
			t.Fatalf("slow header: %q", got)
		}
		if got := rawConn(t, f, head+"Content-Length: 100\r\n\r\n{\"model\"", time.Minute); !strings.Contains(got, "400") {
			t.Fatalf("slow body: %q", got)
		}
		smuggled := head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
		if got := rawConn(t, f, smuggled, time.Minute); !strings.Contains(got, "400") {
			t.Fatalf("two lengths: %q", got)
		}
		if ran := requests(f); ran != 0 {
			t.Fatalf("%d ran", ran)
		}
	})
}

func TestCallerThatDoesNotRead(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
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
			t.Fatal("not counted")
		}
	})
}
