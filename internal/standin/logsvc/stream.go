package logsvc

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// stream holds the kept records of one stream; entries[i] has offset first+i.
type stream struct {
	first   ident.Offset
	entries []extern.LogEntry
	times   []time.Time
}

func (st *stream) tail() ident.Offset {
	return st.first + ident.Offset(len(st.entries)) - 1
}

// expire drops records beyond the limits; the newest record stays.
func (st *stream) expire(now time.Time, maxAge time.Duration, maxRecords int) {
	n := 0
	for n < len(st.entries)-1 && expired(st, n, now, maxAge, maxRecords) {
		n++
	}
	st.first += ident.Offset(n)
	st.entries = st.entries[n:]
	st.times = st.times[n:]
}

func expired(st *stream, i int, now time.Time, maxAge time.Duration, maxRecords int) bool {
	if maxRecords > 0 && len(st.entries)-i > maxRecords {
		return true
	}
	return maxAge > 0 && now.Sub(st.times[i]) > maxAge
}

func (s *Service) store(name extern.Stream, payload []byte) ident.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.tail() + 1
	st.entries = append(st.entries, extern.LogEntry{Offset: offset, Payload: append([]byte(nil), payload...)})
	st.times = append(st.times, time.Now())
	st.expire(time.Now(), s.MaxAge, s.MaxRecords)
	s.stats.Appends++
	return offset
}

func (s *Service) read(name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	st := s.stream(name)
	st.expire(time.Now(), s.MaxAge, s.MaxRecords)
	if len(st.entries) == 0 {
		return extern.LogBatch{}, nil
	}
	if from < st.first && st.first > 1 {
		s.stats.Expired++
		return extern.LogBatch{}, &extern.LogError{Kind: extern.LogExpired, Stream: name}
	}
	batch := extern.LogBatch{First: st.first, Tail: st.tail()}
	if from > st.tail() {
		return batch, nil
	}
	start := int(max(from, st.first) - st.first)
	end := min(start+min(limit, maxReadRecords), len(st.entries))
	batch.Entries = append(batch.Entries, st.entries[start:max(start, end)]...)
	return batch, nil
}

// stream returns the stream with the name; s.mu is held.
func (s *Service) stream(name extern.Stream) *stream {
	if s.streams == nil {
		s.streams = map[extern.Stream]*stream{}
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	return st
}

// takeSlot reports whether another append fits into the second that ends now; s.mu is held.
func (s *Service) takeSlot(now time.Time) bool {
	rate := s.rate()
	if len(s.recent) < rate {
		s.recent = append(s.recent, now)
		return true
	}
	if now.Sub(s.recent[s.next]) < time.Second {
		return false
	}
	s.recent[s.next] = now
	s.next = (s.next + 1) % len(s.recent)
	return true
}

func (s *Service) rate() int {
	if s.AppendsPerSecond > 0 {
		return s.AppendsPerSecond
	}
	return defaultAppendsPerSecond
}
