package logsvc

import "time"

const (
	defaultTimeout  = 5 * time.Second
	maxAnswerBytes  = 64 << 20
	maxFailureBytes = 4 << 10
)
