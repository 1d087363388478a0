package entry

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"lovageshift"
)

// Only entries and agents set headers with this prefix; a request from a caller must not contain one.
const internalHeaderPrefix = "Lovageshift-"

// healthPath is the path of the check whether the process lives.
const healthPath = "/healthz"

// Handler returns the HTTP handler for callers: health and readiness checks, the list of models and completions. All other
// paths are calls to plain services.
func (e *Entry) Handler() http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	router.HandleFunc(healthPath, e.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", e.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", e.serveModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(e.serveRoute)
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.refuse(w, lovageshift.NotRun(lovageshift.ReasonMethodNotAllowed, "the method is not allowed here"))
	})
	return e.limitUnread(e.refuseWhileStopping(router))
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// checkReservedHeaders refuses a caller's request that sets a header reserved for messages between entries, agents and
// engines.
func checkReservedHeaders(r *http.Request) *lovageshift.Refusal {
	for name := range r.Header {
		if strings.HasPrefix(name, internalHeaderPrefix) || strings.HasPrefix(name, "X-Engine-") || name == "X-Stream-Id" {
			return lovageshift.NotRun(lovageshift.ReasonHeaderForbidden, "the header "+name+" is reserved")
		}
	}
	return nil
}
