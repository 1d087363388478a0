package standin

// The headers of the users' platform that tests of other packages name.
const (
	HeaderRequestID = "Lovageshift-Request-Id"
	HeaderSignature = "Lovageshift-Response-Seal"
)
