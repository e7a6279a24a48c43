package forwarder

import (
	"errors"
	"net/netip"

	"hornbeamstream.example/core/router"
)

// Headers of requests and answers, in the form that the codec gives them.
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

// MaxID is the largest length of a request id in bytes.
const MaxIDLen = 64

const (
	maxTime  = 1<<63 - 1
	millisec = int64(1e6)
)

// Outcome tells whether a request ran.
type Outcome uint8

// Outcomes. The zero value is the one that promises nothing.
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

// ParseOutcome reads the value of the Horn-Outcome header.
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
	// Refused is the documented refusal of an upstream.
	ReasonRefused router.Reason = "refused"
	// Unreachable means that no connection could be used.
	ReasonUnreachable router.Reason = "unreachable"
	// Conns means that the limit of connections is reached.
	ReasonConnLimit router.Reason = "conns"
	// Broken means that the exchange failed after bytes were sent.
	ReasonExchangeFailed router.Reason = "broken"
	// Silent means that no byte of an answer came in time.
	ReasonNoResponse router.Reason = "silent"
	// Repeated means that the request has run or may have run before.
	ReasonDuplicate router.Reason = "repeated"
	// Fenced means that a repeat of the request has been given precedence.
	ReasonFenced router.Reason = "fenced"
	// Busy means that this instance has no room for the request: too many are in
	// flight, or the table of request ids is full.
	ReasonOverloaded router.Reason = "busy"
	// Starting means that this instance has no configuration yet.
	ReasonStarting router.Reason = "starting"
	// Gone means that the caller has closed its connection.
	ReasonCallerGone router.Reason = "gone"
	// Cut means that the caller's body ended early.
	ReasonBodyTruncated router.Reason = "cut"
)

// Request is one request as the server has parsed and checked it.
type Request struct {
	Table   *router.Table
	Service *router.Service
	// ID identifies repeats. Given tells that the caller has chosen it.
	ID           []byte
	IDFromCaller bool
	// Attempt is 1 for a first send.
	Attempt  int
	Priority int
	// Arrived, Deadline and Sent, the time of the first attempt, are in Unix
	// nanoseconds. A Sent of 0 is not known.
	Arrived, Deadline, FirstSent int64
	Block                        netip.Addr
	// Region is the home region of Block.
	HomeRegion string
	// Entry is the region of the instance that forwarded the request here.
	EntryRegion string
	// Hop tells that another instance forwarded the request.
	Hop bool
}

// Unsent is the outcome of a request that was refused before anything was sent:
// an earlier send of a repeated once-request may have run.
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

// CheckID tells whether v can be a request id.
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

// ParseMillis reads a time in Unix ms and returns it in Unix nanoseconds.
func ParseMillis(v []byte) (int64, error) {
	n, err := ParseNumber(v, maxTime/millisec)
	return n * millisec, err
}

// ParseNumber reads a decimal number from 0 to limit.
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
