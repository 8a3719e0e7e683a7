package sizing

import "sync"

// completionWeight is the number of prompt tokens that count as much as one completion
// token. Engines read a prompt in large steps and generate an answer token by token.
const completionWeight = 10

// Size returns the size of a request in prompt tokens, with its answer.
func Size(promptTokens, completionTokens int) float64 {
	return float64(promptTokens) + completionWeight*float64(completionTokens)
}

// sizeMemory is the number of requests over which Sizes averages.
const sizeMemory = 100

// Sizes tracks the mean size of each route's requests. It is safe for concurrent use.
type Sizes struct {
	mu    sync.Mutex
	means map[string]*meanSize
}

// meanSize is the mean of the last requests, at most sizeMemory of them.
type meanSize struct {
	mean     float64
	requests int
}

// NewSizes returns Sizes that have observed no request.
func NewSizes() *Sizes { return &Sizes{means: map[string]*meanSize{}} }

// Observe records the size of a request of the route.
func (s *Sizes) Observe(route string, size float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.means[route]
	if m == nil {
		m = &meanSize{}
		s.means[route] = m
	}
	m.requests = min(m.requests+1, sizeMemory)
	m.mean += (size - m.mean) / float64(m.requests)
}

// Mean returns the mean size of the route's requests, or 0 if there was none.
func (s *Sizes) Mean(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.means[route]; m != nil {
		return m.mean
	}
	return 0
}
