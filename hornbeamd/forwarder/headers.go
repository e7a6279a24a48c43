package forwarder

import (
	"errors"
	"net/netip"

	"hornbeamstream.example/core/router"
)

// Headers of requests and responses, in canonical form.
const (
	HeaderID       = "Horn-Id"
	HeaderDeadline = "Horn-Deadline"
	HeaderAttempt  = "Horn-Attempt"
	HeaderPriority = "Horn-Priority"
	HeaderSent     = "Horn-Sent"
	HeaderBlock    = "Horn-Block"
	HeaderEntry    = "Horn-Entry"
	HeaderHop      = "Horn-Hop"
	HeaderOutcome  = "Horn-Outcome"
	HeaderReason   = "Horn-Reason"
	HeaderRetry    = "Horn-Retry"
	HeaderFree     = "Horn-Free"
	HeaderRefused  = "Horn-Refused"
	HeaderState    = "Horn-State"
)

// MaxIDLen is the maximum length of a request id in bytes.
const MaxIDLen = 64

const (
	maxUnixNano   = 1<<63 - 1
	nanosPerMilli = int64(1e6)
)

// Outcome is whether a request ran.
type Outcome uint8

// Outcomes. The zero value promises nothing.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRan
)

// String returns the value of the Horn-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// ParseOutcome parses the value of the Horn-Outcome header.
func ParseOutcome(v []byte) (o Outcome, ok bool) {
	switch string(v) {
	case "ran":
		return OutcomeRan, true
	case "notrun":
		return OutcomeNotRun, true
	case "unknown":
		return OutcomeUnknown, true
	}
	return OutcomeUnknown, false
}

// Reasons that the forwarder adds to the router's.
const (
	// ReasonRefused means that the upstream rejected the request with the
	// Horn-Refused header.
	ReasonRefused router.Reason = "refused"
	// ReasonUnreachable means that no connection could be used.
	ReasonUnreachable router.Reason = "unreachable"
	// ReasonConnLimit means that the connection limit is reached.
	ReasonConnLimit router.Reason = "conns"
	// ReasonExchangeFailed means that the exchange failed after bytes were sent.
	ReasonExchangeFailed router.Reason = "broken"
	// ReasonNoResponse means that no response byte arrived in time.
	ReasonNoResponse router.Reason = "silent"
	// ReasonDuplicate means that an earlier send has run or may have run.
	ReasonDuplicate router.Reason = "repeated"
	// ReasonFenced means that a repeat of the request has fenced its id.
	ReasonFenced router.Reason = "fenced"
	// ReasonOverloaded means that too many requests are in flight here, or that
	// the table of request ids is full.
	ReasonOverloaded router.Reason = "busy"
	// ReasonStarting means that this instance has no configuration yet.
	ReasonStarting router.Reason = "starting"
	// ReasonQuarantined means that the request has crashed upstreams.
	ReasonQuarantined router.Reason = "quarantined"
	// ReasonCallerGone means that the caller has closed its connection.
	ReasonCallerGone router.Reason = "gone"
	// ReasonBodyTruncated means that the caller's body ended early.
	ReasonBodyTruncated router.Reason = "cut"
)

// Request is a request that the server has parsed and validated.
type Request struct {
	Table   *router.Table
	Service *router.Service
	// ID identifies repeats. IDFromCaller is set if the caller chose it.
	ID           []byte
	IDFromCaller bool
	// Attempt is 1 for a first send.
	Attempt  int
	Priority int
	// Arrived, Deadline and FirstSent, the time of the first attempt, are in
	// Unix nanoseconds. FirstSent is 0 if it is not known.
	Arrived, Deadline, FirstSent int64
	Block                        netip.Addr
	// HomeRegion is the home region of Block.
	HomeRegion string
	// EntryRegion is the region of the instance that forwarded the request here.
	EntryRegion string
	// Hop is set if another instance forwarded the request.
	Hop bool
}

// UnsentOutcome returns the outcome of a request that was refused before
// anything was sent. An earlier send of a repeated once-request may have run.
func (r *Request) UnsentOutcome() Outcome {
	if r.Service.AtMostOnce && r.Attempt > 1 && !r.Hop {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

var (
	errID     = errors.New("the request id is not 1 to 64 visible ASCII characters")
	errNumber = errors.New("the value is not a decimal number in range")
)

// ValidateID returns an error if v is not a valid request id.
func ValidateID(v []byte) error {
	if len(v) == 0 || len(v) > MaxIDLen {
		return errID
	}
	for _, c := range v {
		if c <= ' ' || c >= 0x7f {
			return errID
		}
	}
	return nil
}

// ParseMillis parses a time in Unix milliseconds and returns it in nanoseconds.
func ParseMillis(v []byte) (int64, error) {
	n, err := ParseNumber(v, maxUnixNano/nanosPerMilli)
	return n * nanosPerMilli, err
}

// ParseNumber parses a decimal number from 0 to limit.
func ParseNumber(v []byte, limit int64) (int64, error) {
	if len(v) == 0 || len(v) > 19 {
		return 0, errNumber
	}
	var n int64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, errNumber
		}
		d := int64(c - '0')
		if n > (limit-d)/10 {
			return 0, errNumber
		}
		n = n*10 + d
	}
	return n, nil
}
