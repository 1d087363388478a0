package lovageshift

// Version is the version of both programs.
const Version = "0.1.0"
