package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in plain service that counts how often each body ran.
type Service struct {
	mutex sync.Mutex
	runs  map[string]int
	delay time.Duration
	leaks int
}

// NewService returns a service that answers at once.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// SetDelay makes each call take the time given.
func (s *Service) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// Runs returns how often a call with the body ran.
func (s *Service) Runs(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[body]
}

// LeakedKeys returns how many calls carried an Authorization header.
func (s *Service) LeakedKeys() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaks
}

// ServeHTTP runs one call and answers with its path and body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.runs[string(raw)]++
	if r.Header.Get("Authorization") != "" {
		s.leaks++
	}
	delay := s.delay
	s.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	writeJSON(w, struct {
		Path string `json:"path"`
		Body string `json:"body"`
	}{r.URL.Path, string(raw)})
}
