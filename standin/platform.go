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

const watchPoll = 20 * time.Millisecond

// ConfigService is a stand-in configuration service that can lag, go back, be down or be over its rate.
type ConfigService struct {
	mutex    sync.Mutex
	sets     []*folder.Set // oldest first
	machines folderservice.VMList
	shown    int // index of the set that readers see
	down     bool
	rate     int // reads a second, 0 for no limit
	second   int64
	inSecond int
	reads    int
}

// NewConfigService returns a service that has published nothing.
func NewConfigService() *ConfigService { return &ConfigService{shown: -1} }

// Publish makes the files the next revision.
func (p *ConfigService) Publish(files ...folder.File) lovageshift.Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision := lovageshift.Revision(len(p.sets) + 1)
	p.sets = append(p.sets, &folder.Set{Revision: revision, Files: files})
	p.shown = len(p.sets) - 1
	return revision
}

// ServeRevision makes readers see an earlier revision, counted from 1, as a stale replica would.
func (p *ConfigService) ServeRevision(revision lovageshift.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shown = int(revision) - 1
}

// SetDown makes the service fail every read, or serve again.
func (p *ConfigService) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// SetRateLimit sets how many reads a second are served.
func (p *ConfigService) SetRateLimit(rate int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rate = rate
}

// SetVMs sets the list of VMs.
func (p *ConfigService) SetVMs(machines folderservice.VMList) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = machines
}

// Reads returns how many reads were served or refused.
func (p *ConfigService) Reads() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads
}

// Handler serves the service's protocol.
func (p *ConfigService) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/config", p.admit(p.serveManifest))
	router.HandleFunc("/v1/config/files/{name}", p.admit(p.serveFile))
	router.HandleFunc("/v1/machines", p.admit(p.serveMachines))
	return router
}

func (p *ConfigService) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mutex.Lock()
		p.reads++
		if now := time.Now().Unix(); now != p.second {
			p.second, p.inSecond = now, 0
		}
		p.inSecond++
		down, over := p.down, p.rate > 0 && p.inSecond > p.rate
		p.mutex.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case over:
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			next(w, r)
		}
	}
}

func (p *ConfigService) current() *folder.Set {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.shown < 0 || p.down {
		return nil
	}
	return p.sets[p.shown]
}

func (p *ConfigService) serveManifest(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		set := p.current()
		if set != nil && set.Revision != lovageshift.Revision(after) {
			writeJSON(w, manifestOf(set))
			return
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		time.Sleep(watchPoll)
	}
}

func manifestOf(set *folder.Set) folderservice.Manifest {
	manifest := folderservice.Manifest{Revision: set.Revision}
	for _, file := range set.Files {
		manifest.Files = append(manifest.Files, folderservice.ManifestFile{Name: file.Name, Digest: hex.EncodeToString(file.Digest[:])})
	}
	return manifest
}

func (p *ConfigService) serveFile(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if revision < 1 || revision > len(p.sets) {
		http.NotFound(w, r)
		return
	}
	for _, file := range p.sets[revision-1].Files {
		if file.Name == mux.Vars(r)["name"] {
			_, _ = w.Write(file.Content)
			return
		}
	}
	http.NotFound(w, r)
}

func (p *ConfigService) serveMachines(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	writeJSON(w, p.machines)
}
