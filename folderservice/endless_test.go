package folderservice_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"lovageshift/folder"
	"lovageshift/folderservice"
	"lovageshift/standin"
)

// How much may be allocated to read one endless answer of the service, of whose body 1 MiB is read.
const endlessAllocation = 16 << 20

// Guards against a configuration service that sends an answer without end and thereby takes the memory of every process.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000\r\n"
	cases := map[string]struct{ beginning, repeated string }{
		"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"list of VMs":       {chunked + "{\"live\":[\"\"", ",\"\""},
		"manifest":          {chunked + "{\"files\":[{}", ",{}"},
		"spaces":            {chunked, " "},
	}
	for name, c := range cases {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			server, err := standin.NewEndlessServer(c.beginning, c.repeated)
			if err != nil {
				t.Fatal(err)
			}
			reader := folderservice.NewReader(server.Address(), nil)
			for _, read := range []func() error{
				func() error { _, err := reader.VMs(context.Background()); return err },
				func() error {
					_, err := reader.Watch(context.Background(), 1, folder.Digest{}, time.Second)
					return err
				},
			} {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := read()
				runtime.ReadMemStats(&after)
				if err == nil {
					t.Error("an answer without end looked complete")
				}
				if allocated := after.TotalAlloc - before.TotalAlloc; allocated > endlessAllocation {
					t.Errorf("%d bytes were allocated", allocated)
				}
			}
			reader.Close()
			server.Close()
		})
	}
}

// Guards against a manifest of more files than a process has memory for.
func TestFilesOfARevisionAreLimitedTogether(t *testing.T) {
	const most, fileBytes, count = 64 << 20, 1 << 20, 80
	content := func(i int) []byte { return fmt.Appendf(make([]byte, fileBytes-4), "%04d", i) }
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if name, isFile := strings.CutPrefix(r.URL.Path, "/v1/config/files/"); isFile {
			number := 0
			_, _ = fmt.Sscanf(name, "%d", &number)
			served++
			_, _ = w.Write(content(number))
			return
		}
		manifest := folderservice.Manifest{Revision: 2}
		for i := range count {
			digest := sha256.Sum256(content(i))
			manifest.Files = append(manifest.Files, folderservice.ManifestFile{Name: fmt.Sprint(i), Digest: hex.EncodeToString(digest[:])})
		}
		_ = json.NewEncoder(w).Encode(manifest)
	}))
	defer server.Close()
	reader := folderservice.NewReader(server.Listener.Addr().String(), nil)
	defer reader.Close()
	if _, err := reader.Watch(context.Background(), 1, folder.Digest{}, time.Second); err == nil || !strings.Contains(err.Error(), "larger") {
		t.Errorf("the files were read: %v", err)
	}
	if served > most/fileBytes+1 {
		t.Errorf("%d files were read", served)
	}
}
