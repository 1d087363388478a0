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

// serveCompletion answers one request for a model.
func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	config, who, refusal := e.admitCaller(r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	body, refusal := readBody(w, r, &config.Limits)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	job, refusal := e.completionWork(config, who, r, body)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	out := newResponse(w, &config.Limits, job.stream)
	e.finish(out, e.perform(r.Context(), job, out))
}

func (e *Entry) completionWork(config *lovageshift.Config, who *caller, r *http.Request, body []byte) (*work, *lovageshift.Refusal) {
	ask, err := ParseCompletion(body, config.Limits.NestingDepth)
	if err != nil {
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, err.Error())
	}
	if bytes.Contains(body, []byte(who.secret)) {
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "the body holds the caller's key")
	}
	name, adapter, _ := strings.Cut(string(ask.Model), ":")
	model := config.Models[lovageshift.ModelID(name)]
	if model == nil || (adapter != "" && !slices.Contains(model.Adapters, adapter)) {
		return nil, lovageshift.NotRun(lovageshift.ReasonNotFound, "no such model")
	}
	if !who.account.MayUseModel(model.ID) {
		return nil, lovageshift.NotRun(lovageshift.ReasonModelForbidden, "the client account may not use this model")
	}
	output, refusal := outputLimit(model, ask)
	if refusal != nil {
		return nil, refusal
	}
	prompt := model.MaxPromptTokens(len(body))
	if prompt+output > model.ContextTokens {
		return nil, lovageshift.NotRun(lovageshift.ReasonPromptTooLong, "the prompt and the output limit exceed the model's context")
	}
	fingerprint := fingerprintOf(who.account.ID, r.URL.Path, body)
	if ask.MaxTokens == 0 {
		body = withLimit(body, output)
	}
	return e.newCompletion(config, who, r, ask, &work{
		model: model.ID, adapter: adapter, body: body, fingerprint: fingerprint,
		tokens: prompt + output*lovageshift.Tokens(ask.Choices),
		request: routing.Request{
			Prompt: prompt, Output: output * lovageshift.Tokens(ask.Choices), Prefixes: ask.Prefixes,
			BlockTokens: lovageshift.Tokens(prefixBytes / model.MinBytesPerToken),
		},
	}), nil
}

func (e *Entry) newCompletion(config *lovageshift.Config, who *caller, r *http.Request, ask *CompletionRequest, job *work) *work {
	tier := config.Tiers[who.account.Tier]
	now := e.node.Now()
	job.account, job.key, job.rank = who.account, who.key.ID, tier.Rank
	job.request.Rank = tier.Rank
	job.method, job.path, job.stream = r.Method, r.URL.Path, ask.Stream
	job.headers = passedHeaders(r, who.secret)
	job.firstToken = now + tier.FirstTokenMillis
	job.deadline = now + config.Limits.RequestMillis
	return job
}

func outputLimit(model *lovageshift.Model, ask *CompletionRequest) (lovageshift.Tokens, *lovageshift.Refusal) {
	if ask.MaxTokens == 0 {
		return model.DefaultOutputTokens, nil
	}
	if ask.MaxTokens > model.MaxOutputTokens {
		return 0, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "max_tokens exceeds the model's limit")
	}
	return ask.MaxTokens, nil
}

var passedNames = []string{"Content-Type", "Accept", "Accept-Language", "If-None-Match", "Traceparent"}

// passedHeaders returns the few headers that targets see; one that holds the key is left out.
func passedHeaders(r *http.Request, secret string) []*wire.Header {
	var headers []*wire.Header
	for _, name := range passedNames {
		value := r.Header.Get(name)
		if value != "" && (secret == "" || !strings.Contains(value, secret)) {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
