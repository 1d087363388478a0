package process

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"lovageshift/eventlog"
	"lovageshift/platform"
)

// settingsSource reads the settings file again on a signal and when it changes.
type settingsSource struct {
	path     string
	log      *eventlog.Log
	settings atomic.Pointer[platform.Settings]
	content  []byte
	onChange func(platform.Settings)
}

func newSettingsSource(path string, settings platform.Settings, log *eventlog.Log) *settingsSource {
	s := &settingsSource{path: path, log: log, onChange: func(platform.Settings) {}}
	s.settings.Store(&settings)
	s.content, _ = os.ReadFile(path) // an unreadable file is logged at the next look
	return s
}

func (s *settingsSource) current() platform.Settings { return *s.settings.Load() }

func (s *settingsSource) store() string { return s.settings.Load().StoreAddress }

func (s *settingsSource) run(ctx context.Context, hangups <-chan os.Signal) error {
	ticker := time.NewTicker(settingsMillis.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			s.reload("signal")
		case <-ticker.C:
			s.reload("change")
		}
	}
}

// reload keeps the settings in force when the file cannot be read.
func (s *settingsSource) reload(cause string) {
	content, err := os.ReadFile(s.path)
	if err != nil {
		s.log.Info("settingsKept", "cause", cause, "error", err.Error())
		return
	}
	if bytes.Equal(content, s.content) {
		if cause == "signal" {
			s.log.Info("reload", "cause", cause, "changed", false)
		}
		return
	}
	s.content = content
	settings, err := platform.ParseSettings(content)
	if err != nil {
		s.log.Info("settingsKept", "cause", cause, "error", err.Error())
		return
	}
	s.settings.Store(&settings)
	s.onChange(settings)
	s.log.Info("reload", "cause", cause, "changed", true, "store", settings.StoreAddress, "seeds", len(settings.Seeds))
}
