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

// pollInterval is how often a waiting read of the manifest checks for another revision.
const pollInterval = 20 * time.Millisecond

// ConfigService is a stand-in for the configuration service that package folderservice reads. It can serve an earlier
// revision, be down, or refuse reads beyond a rate. It is safe for concurrent use.
type ConfigService struct {
	mutex         sync.Mutex
	revisions     []*folder.Set // all published revisions, oldest first
	vms           folderservice.VMList
	served        int // index in revisions of the one served, -1 if none is published
	down          bool
	rate          int   // reads served per second, 0 for no limit
	currentSecond int64 // Unix time of the latest read, in seconds
	readsInSecond int   // reads received in currentSecond
	reads         int   // reads received since the service was created
}

// NewConfigService returns a service without a published revision.
func NewConfigService() *ConfigService { return &ConfigService{served: -1} }

// Publish publishes the files as the next revision, serves it from now on and returns its number. The first is 1.
func (s *ConfigService) Publish(files ...folder.File) lovageshift.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := lovageshift.Revision(len(s.revisions) + 1)
	s.revisions = append(s.revisions, &folder.Set{Revision: revision, Files: files})
	s.served = len(s.revisions) - 1
	return revision
}

// ServeRevision serves a published revision again, as a server of the service that lags behind would, until the next
// call of Publish or ServeRevision.
func (s *ConfigService) ServeRevision(revision lovageshift.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.served = int(revision) - 1
}

// SetDown makes the service refuse every new read with status 503, or serve reads again.
func (s *ConfigService) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetRateLimit sets how many reads are served in each second of the clock, 0 for no limit. Reads beyond it are refused
// with status 429.
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

// Reads returns how many reads were received, including those that were refused.
func (s *ConfigService) Reads() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

// Handler returns the handler of the service's HTTP interface: the manifest of a revision, its files and the list of
// VMs.
func (s *ConfigService) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/config", s.limitReads(s.serveManifest))
	router.HandleFunc("/v1/config/files/{name}", s.limitReads(s.serveFile))
	router.HandleFunc("/v1/machines", s.limitReads(s.serveVMs))
	return router
}

// limitReads returns a handler that counts a read and passes it to next, or refuses it if the service is down or over
// its rate.
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

// servedSet returns the revision that is served with its files, nil if there is none or the service is down.
func (s *ConfigService) servedSet() *folder.Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.served < 0 || s.down {
		return nil
	}
	return s.revisions[s.served]
}

// serveManifest answers with the manifest of the served revision as soon as that differs from the revision in the query
// parameter "after". If the time in "waitMillis" passes first, it answers with status 304.
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

// serveFile answers with one file of any published revision.
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
