package logsvc

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// stream holds the retained records of one stream; entries[i] has offset first+i and was appended at storedAt[i].
type stream struct {
	first    ident.Offset
	entries  []extern.LogEntry
	storedAt []time.Time
}

func (st *stream) tail() ident.Offset {
	return st.first + ident.Offset(len(st.entries)) - 1
}

// expire drops the records that exceed the age or number limit, except the newest.
func (st *stream) expire(now time.Time, maxAge time.Duration, maxRecords int) {
	expiredCount := 0
	for expiredCount < len(st.entries)-1 && expired(st, expiredCount, now, maxAge, maxRecords) {
		expiredCount++
	}
	st.first += ident.Offset(expiredCount)
	st.entries = st.entries[expiredCount:]
	st.storedAt = st.storedAt[expiredCount:]
}

func expired(st *stream, i int, now time.Time, maxAge time.Duration, maxRecords int) bool {
	if maxRecords > 0 && len(st.entries)-i > maxRecords {
		return true
	}
	return maxAge > 0 && now.Sub(st.storedAt[i]) > maxAge
}

func (s *Service) store(name extern.Stream, payload []byte) ident.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.tail() + 1
	st.entries = append(st.entries, extern.LogEntry{Offset: offset, Payload: append([]byte(nil), payload...)})
	st.storedAt = append(st.storedAt, time.Now())
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

// stream returns the stream with the name, which it creates if there is none; s.mu is held.
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

// allowAppend reports whether the rate limit leaves room for another append in the second that ends now, and counts the
// append if so; s.mu is held.
func (s *Service) allowAppend(now time.Time) bool {
	rate := s.appendRate()
	if len(s.appendTimes) < rate {
		s.appendTimes = append(s.appendTimes, now)
		return true
	}
	if now.Sub(s.appendTimes[s.oldestAppend]) < time.Second {
		return false
	}
	s.appendTimes[s.oldestAppend] = now
	s.oldestAppend = (s.oldestAppend + 1) % len(s.appendTimes)
	return true
}

func (s *Service) appendRate() int {
	if s.AppendsPerSecond > 0 {
		return s.AppendsPerSecond
	}
	return defaultAppendsPerSecond
}
