package standin

// Headers of the users' platform that tests of other packages use.
const (
	HeaderRequestID = "Lovageshift-Request-Id"
	HeaderSignature = "Lovageshift-Response-Seal"
)
