package allocator

import (
	"encoding/binary"
	"errors"
	"math"
)

// Reports and totals are sent as varints: most are small numbers.

// demandScale and levelScale are the steps in which demands and levels are sent.
const demandScale, levelScale = 16, 4

var errShort = errors.New("data ends within a number")

// AppendReports encodes reports.
func AppendReports(p []byte, all []Report) []byte {
	for _, r := range all {
		p = binary.AppendUvarint(p, r.Admitted)
		p = binary.AppendUvarint(p, uint64(max(0, math.Ceil(r.Demand*demandScale))))
	}
	return p
}

// ParseReports decodes what AppendReports has encoded.
func ParseReports(p []byte) (all []Report, err error) {
	for len(p) > 0 {
		admitted, n := binary.Uvarint(p)
		if n <= 0 {
			return nil, errShort
		}
		demand, m := binary.Uvarint(p[n:])
		if m <= 0 {
			return nil, errShort
		}
		all = append(all, Report{Admitted: admitted, Demand: float64(demand) / demandScale})
		p = p[n+m:]
	}
	return all, nil
}

// AppendTotals encodes totals.
func AppendTotals(p []byte, all []Total) []byte {
	for _, t := range all {
		p = binary.AppendVarint(p, int64(math.Floor(t.Level*levelScale)))
		p = binary.AppendUvarint(p, uint64(max(0, math.Ceil(t.Demand*demandScale))))
	}
	return p
}

// ParseTotals decodes what AppendTotals has encoded.
func ParseTotals(p []byte) (all []Total, err error) {
	for len(p) > 0 {
		level, n := binary.Varint(p)
		if n <= 0 {
			return nil, errShort
		}
		demand, m := binary.Uvarint(p[n:])
		if m <= 0 {
			return nil, errShort
		}
		all = append(all, Total{Level: float64(level) / levelScale, Demand: float64(demand) / demandScale})
		p = p[n+m:]
	}
	return all, nil
}
