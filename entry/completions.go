package entry

import (
	"bytes"
	"net/http"
	"slices"
	"strings"

	"lovageshift"
	"lovageshift/routing"
	"lovageshift/wire"
)

// serveCompletion handles a completion request: it checks the request, has it run by a target and writes the response.
func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	config, c, refusal := e.admitCaller(r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	body, held, refusal := e.readBody(w, r, &config.Limits, c)
	defer held.Release()
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	p, refusal := e.prepareCompletion(config, c, r, body)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	out := e.newResponse(w, r, &config.Limits, p)
	defer out.release()
	e.finish(out, e.perform(r.Context(), p, out))
}

// prepareCompletion checks a completion request against the configuration and returns it ready for dispatch. The token counts
// of the returned request are upper bounds, since the entry does not tokenize prompts.
func (e *Entry) prepareCompletion(config *lovageshift.Config, c *caller, r *http.Request, body []byte) (*pendingRequest, *lovageshift.Refusal) {
	completion, err := ParseCompletion(body, config.Limits.NestingDepth)
	if err != nil {
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, err.Error())
	}
	if bytes.Contains(body, []byte(c.secret)) {
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "the body holds the caller's key")
	}
	modelName, adapter, _ := strings.Cut(string(completion.Model), ":")
	model := config.Models[lovageshift.ModelID(modelName)]
	if model == nil || (adapter != "" && !slices.Contains(model.Adapters, adapter)) {
		return nil, lovageshift.NotRun(lovageshift.ReasonNotFound, "no such model")
	}
	if !c.account.MayUseModel(model.ID) {
		return nil, lovageshift.NotRun(lovageshift.ReasonModelForbidden, "the client account may not use this model")
	}
	outputTokens, refusal := outputLimit(model, completion)
	if refusal != nil {
		return nil, refusal
	}
	promptTokens := model.MaxPromptTokens(len(body))
	if promptTokens+outputTokens > model.ContextTokens {
		return nil, lovageshift.NotRun(lovageshift.ReasonPromptTooLong, "the prompt and the output limit exceed the model's context")
	}
	fingerprint := requestFingerprint(c.account.ID, r.URL.Path, body)
	if completion.OutputLimit == 0 {
		body = withOutputLimit(body, outputTokens)
	}
	return e.fillCompletion(config, c, r, completion, &pendingRequest{
		model: model.ID, adapter: adapter, body: body, fingerprint: fingerprint,
		maxTokens: promptTokens + outputTokens*lovageshift.Tokens(completion.Choices),
		routingRequest: routing.Request{
			Prompt: promptTokens, Output: outputTokens * lovageshift.Tokens(completion.Choices), Prefixes: completion.Prefixes,
			BlockTokens: lovageshift.Tokens(prefixBlockBytes / model.MinBytesPerToken),
		},
	}), nil
}

// fillCompletion sets the fields of p that come from the caller, its account's tier and the HTTP request, sets the deadlines,
// which count from now, and returns p.
func (e *Entry) fillCompletion(config *lovageshift.Config, c *caller, r *http.Request, completion *CompletionRequest, p *pendingRequest) *pendingRequest {
	tier := config.Tiers[c.account.Tier]
	now := e.node.Now()
	p.account, p.keyID, p.rank = c.account, c.key.ID, tier.Rank
	p.routingRequest.Rank = tier.Rank
	p.method, p.path, p.stream = r.Method, r.URL.Path, completion.Stream
	p.headers = forwardedHeaders(r, c.secret)
	p.firstTokenDeadline = now + tier.FirstTokenMillis
	p.deadline = now + config.Limits.RequestMillis
	return p
}

// outputLimit returns the output limit of each choice in tokens: the requested one or, if there is none, the model's
// default. It refuses a limit above the model's maximum.
func outputLimit(model *lovageshift.Model, completion *CompletionRequest) (lovageshift.Tokens, *lovageshift.Refusal) {
	if completion.OutputLimit == 0 {
		return model.DefaultOutputTokens, nil
	}
	if completion.OutputLimit > model.MaxOutputTokens {
		return 0, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "max_tokens exceeds the model's limit")
	}
	return completion.OutputLimit, nil
}

var forwardedHeaderNames = []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match", "Traceparent"}

// forwardedHeaders returns the request's headers to pass on to the target: those named in forwardedHeaderNames, each with its
// first value. It leaves out a header whose value contains the secret of the caller's key.
func forwardedHeaders(r *http.Request, secret string) []*wire.Header {
	var headers []*wire.Header
	for _, name := range forwardedHeaderNames {
		value := r.Header.Get(name)
		if value != "" && (secret == "" || !strings.Contains(value, secret)) {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
