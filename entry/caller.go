package entry

import (
	"net/http"
	"strings"

	"lovageshift"
)

// caller is the sender of a request, identified by the key of a client account in the request. On an open route, where no key
// is checked, the fields are unset.
type caller struct {
	account *lovageshift.Account
	key     *lovageshift.Key
	secret  string // the key's secret text, as sent in the request
}

const bearerPrefix = "Bearer "

// authenticate returns the caller whose bearer key the request holds, or a refusal if the key is missing, malformed, unknown
// or withdrawn.
func (e *Entry) authenticate(config *lovageshift.Config, r *http.Request) (*caller, *lovageshift.Refusal) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyMissing, "an Authorization header with a bearer key is needed")
	}
	if len(values) > 1 || len(values[0]) <= len(bearerPrefix) ||
		!strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return nil, lovageshift.NotRun(lovageshift.ReasonKeyMalformed, "one Authorization header with a bearer key is needed")
	}
	secret := values[0][len(bearerPrefix):]
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

// admitCaller checks a completion request, or a request for the list of models, before its body is read: the entry must have a
// configuration that it trusts enough for new work (AllowsNewWork), no reserved header may be set, and the key must be valid.
func (e *Entry) admitCaller(r *http.Request) (*lovageshift.Config, *caller, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	if config == nil || !e.node.AllowsNewWork() {
		return nil, nil, lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the entry cannot confirm its configuration").WithRetryAfter(1000)
	}
	if refusal := checkReservedHeaders(r); refusal != nil {
		return nil, nil, refusal
	}
	c, refusal := e.authenticate(config, r)
	return config, c, refusal
}
