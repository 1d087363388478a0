package standin

// Headers of the platform that tests of other packages use: the request id, and a target's signature on a response.
const (
	HeaderRequestID = "Lovageshift-Request-Id"
	HeaderSignature = "Lovageshift-Response-Seal"
	// HeaderPromptParts lists the parts of the prompt as ID:TOKENS entries.
	HeaderPromptParts = "Lovageshift-Prompt-Prefix"
)
