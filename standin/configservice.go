package standin

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lovageshift"
	"lovageshift/folder"
	"lovageshift/folderservice"
)

const pollInterval = 20 * time.Millisecond

// ConfigService is a stand-in for the platform's configuration service. It can serve a stale revision, be down or
// refuse reads beyond a rate.
type ConfigService struct {
	mutex         sync.Mutex
	revisions     []*folder.Set // oldest first
	vms           folderservice.VMList
	served        int // index in revisions, -1 for none
	down          bool
	rate          int // reads a second, 0 for no limit
	currentSecond int64
	readsInSecond int
	reads         int
}

// NewConfigService returns a service without a published revision.
func NewConfigService() *ConfigService { return &ConfigService{served: -1} }

// Publish publishes the files as the next revision and returns its number, from 1.
func (s *ConfigService) Publish(files ...folder.File) lovageshift.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := lovageshift.Revision(len(s.revisions) + 1)
	s.revisions = append(s.revisions, &folder.Set{Revision: revision, Files: files})
	s.served = len(s.revisions) - 1
	return revision
}

// ServeRevision serves an earlier revision, counted from 1, as a stale replica of the service would.
func (s *ConfigService) ServeRevision(revision lovageshift.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.served = int(revision) - 1
}

// SetDown makes the service refuse every read with status 503, or serve again.
func (s *ConfigService) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetRateLimit sets how many reads a second are served, 0 for no limit; further ones are refused with status 429.
func (s *ConfigService) SetRateLimit(rate int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rate = rate
}

// SetVMs sets the list of VMs to serve.
func (s *ConfigService) SetVMs(vms folderservice.VMList) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.vms = vms
}

// Reads returns how many reads were received, with those that were refused.
func (s *ConfigService) Reads() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

// Handler returns the handler of the service's HTTP interface.
func (s *ConfigService) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/config", s.limitReads(s.serveManifest))
	router.HandleFunc("/v1/config/files/{name}", s.limitReads(s.serveFile))
	router.HandleFunc("/v1/machines", s.limitReads(s.serveVMs))
	return router
}

// limitReads counts a read and refuses it while the service is down or over its rate.
func (s *ConfigService) limitReads(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.reads++
		if now := time.Now().Unix(); now != s.currentSecond {
			s.currentSecond, s.readsInSecond = now, 0
		}
		s.readsInSecond++
		down, overRate := s.down, s.rate > 0 && s.readsInSecond > s.rate
		s.mutex.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case overRate:
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			next(w, r)
		}
	}
}

// servedSet returns the files of the served revision, nil if there is none or the service is down.
func (s *ConfigService) servedSet() *folder.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.served < 0 || s.down {
		return nil
	}
	return s.revisions[s.served]
}

// serveManifest answers with the served revision once it differs from the reader's, or with 304 after the wait time.
func (s *ConfigService) serveManifest(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		set := s.servedSet()
		if set != nil && set.Revision != lovageshift.Revision(after) {
			writeJSON(w, manifestOf(set))
			return
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		time.Sleep(pollInterval)
	}
}

func manifestOf(set *folder.Set) folderservice.Manifest {
	manifest := folderservice.Manifest{Revision: set.Revision}
	for _, file := range set.Files {
		manifest.Files = append(manifest.Files,
			folderservice.ManifestFile{Name: file.Name, Digest: hex.EncodeToString(file.Digest[:])})
	}
	return manifest
}

func (s *ConfigService) serveFile(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision < 1 || revision > len(s.revisions) {
		http.NotFound(w, r)
		return
	}
	for _, file := range s.revisions[revision-1].Files {
		if file.Name == mux.Vars(r)["name"] {
			_, _ = w.Write(file.Content)
			return
		}
	}
	http.NotFound(w, r)
}

func (s *ConfigService) serveVMs(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, s.vms)
}
