package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in for a plain service that is reached through an agent. It counts the requests that it ran by
// their bodies. It is safe for concurrent use.
type Service struct {
	mutex      sync.Mutex
	runs       map[string]int // by request body
	delay      time.Duration
	leakedKeys int
}

// NewService returns a service that answers without delay.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// SetDelay sets how long each request takes.
func (s *Service) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// Runs returns how many requests with the body ran.
func (s *Service) Runs(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[body]
}

// LeakedKeys returns how many requests had an Authorization header, which must never reach a target.
func (s *Service) LeakedKeys() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leakedKeys
}

// ServeHTTP runs one request and answers with its path and body as JSON.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.runs[string(body)]++
	if r.Header.Get("Authorization") != "" {
		s.leakedKeys++
	}
	delay := s.delay
	s.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	writeJSON(w, struct {
		Path string `json:"path"`
		Body string `json:"body"`
	}{r.URL.Path, string(body)})
}
