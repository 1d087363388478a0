package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"lovageshift/settings"
)

// Guards against an operator who cannot say that an entry has no limits, and against a mistyped limit that is taken for that.
func TestEntryMayHaveNoLimits(t *testing.T) {
	const format = "memoryMegabytes = %[1]d\nfileDescriptors = %[1]d\n[security]\nplain = true\n[source]\nfolder = \"f\"\n"
	path := filepath.Join(t.TempDir(), "settings")
	for value, valid := range map[int]bool{-2: false, -1: true, 0: true, 1: true} {
		if err := os.WriteFile(path, fmt.Appendf(nil, format, value), 0o600); err != nil {
			t.Fatal(err)
		}
		read, err := settings.ReadEntry(path)
		if valid && (err != nil || read.MemoryMegabytes != value || read.FileDescriptors != value) {
			t.Errorf("%d: %+v, %v", value, read, err)
		}
		if !valid && !errors.Is(err, settings.ErrInvalid) {
			t.Errorf("%d: %v", value, err)
		}
	}
}
