package lovageshift

// Version is the version of the programs lovageshift and lovageshiftagent.
const Version = "0.1.0"
