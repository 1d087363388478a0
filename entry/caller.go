package entry

import (
	"net/http"
	"strings"

	"lovageshift"
)

// caller is who sent a request.
type caller struct {
	account *lovageshift.Account
	key     *lovageshift.Key
	secret  string
}

const bearer = "Bearer "

// authenticate finds the client account whose key came with the request.
func (e *Entry) authenticate(config *lovageshift.Config, r *http.Request) (*caller, *lovageshift.Refusal) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyMissing, "an Authorization header with a bearer key is needed")
	}
	if len(values) > 1 || len(values[0]) <= len(bearer) || !strings.EqualFold(values[0][:len(bearer)], bearer) {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyMalformed, "one Authorization header with a bearer key is needed")
	}
	secret := values[0][len(bearer):]
	hash, err := lovageshift.HashSecret(secret)
	if err != nil {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyMalformed, "the key is malformed")
	}
	key := config.KeyFor(hash)
	if key == nil {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyUnknown, "the key is unknown")
	}
	if key.Withdrawn {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
	}
	return &caller{config.Accounts[key.Account], key, secret}, nil
}

// admitCaller checks what every request needs before its body is read.
func (e *Entry) admitCaller(r *http.Request) (*lovageshift.Config, *caller, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	if config == nil || !e.node.AllowsNewWork() {
		return nil, nil, lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the entry cannot confirm its configuration").WithRetryAfter(1000)
	}
	if refusal := checkHeaders(r); refusal != nil {
		return nil, nil, refusal
	}
	who, refusal := e.authenticate(config, r)
	return config, who, refusal
}
