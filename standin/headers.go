package standin

// Headers of the platform that tests of other packages use.
const (
	// HeaderRequestID is the request id, in requests and responses.
	HeaderRequestID = "Lovageshift-Request-Id"
	// HeaderSignature is a target's signature on a response.
	HeaderSignature = "Lovageshift-Response-Seal"
	// HeaderPromptParts lists the parts of the prompt as ID:TOKENS entries.
	HeaderPromptParts = "Lovageshift-Prompt-Prefix"
	// HeaderLimit names the requests a second that a target takes from all entries together.
	HeaderLimit = "Server-Limit"

	// HeaderNotRun says that the target did not run the request and never will.
	HeaderNotRun = "Lovageshift-Not-Executed"

	// HeaderLeaving says that the target leaves.
	HeaderLeaving = "Server-Leaving"

	headerLastEvent = "Last-Event-Id"
	headerResumes   = "Resumes"
)
