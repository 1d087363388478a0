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

// settingsWatcher reads the settings file again on SIGHUP and every settingsPollMillis. It puts the settings in force if
// the content of the file has changed and is valid.
type settingsWatcher struct {
	path     string
	log      *eventlog.Log
	settings atomic.Pointer[platform.Settings] // the settings in force
	content  []byte                            // of the file when last read, valid or not
	onChange func(platform.Settings)           // called after other settings were put in force
}

func newSettingsWatcher(path string, settings platform.Settings, log *eventlog.Log) *settingsWatcher {
	w := &settingsWatcher{path: path, log: log, onChange: func(platform.Settings) {}}
	w.settings.Store(&settings)
	w.content, _ = os.ReadFile(path) // an unreadable file is logged at the next check
	return w
}

func (w *settingsWatcher) current() platform.Settings { return *w.settings.Load() }

func (w *settingsWatcher) storeAddress() string { return w.settings.Load().StoreAddress }

func (w *settingsWatcher) run(ctx context.Context, hangups <-chan os.Signal) error {
	ticker := time.NewTicker(settingsPollMillis.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			w.reload("signal")
		case <-ticker.C:
			w.reload("change")
		}
	}
}

// reload puts the settings of the file in force if its content has changed. If the file can't be read or its content is
// invalid, the settings in force stay. The cause of the call is logged: "signal", or "change" for a periodic check.
func (w *settingsWatcher) reload(cause string) {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.log.Info("settingsKept", "cause", cause, "error", err.Error())
		return
	}
	if bytes.Equal(content, w.content) {
		if cause == "signal" {
			w.log.Info("reload", "cause", cause, "changed", false)
		}
		return
	}
	w.content = content
	settings, err := platform.ParseSettings(content)
	if err != nil {
		w.log.Info("settingsKept", "cause", cause, "error", err.Error())
		return
	}
	w.settings.Store(&settings)
	w.onChange(settings)
	w.log.Info("reload", "cause", cause, "changed", true, "store", settings.StoreAddress, "seeds", len(settings.Seeds))
}
