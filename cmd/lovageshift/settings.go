package main

import (
	"os"

	"github.com/gravitational/trace"

	"lovageshift/platform"
)

// settingsPath returns the path of the settings file on the users' platform.
func settingsPath() (string, error) {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return "", trace.BadParameter("%s is not set to the path of a settings file", platform.SettingsVariable)
	}
	return path, nil
}
