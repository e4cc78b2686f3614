package quota

import (
	"encoding/binary"
	"math"
	"time"

	"mulleinmux/policy/overload"
)

// Message is a message between an instance of a customer and an owner of the customer's quota: a [Request],
// [UsageReport], [Response] or [Return].
type Message interface{ isMessage() }

// Charge is what one request takes from its customer's quota.
type Charge struct {
	Number   uint64 // of the request, at the instance that received it
	Customer uint64
	Scope    Scope
	Units    float64
}

// Request requests units from the owner.
type Request struct {
	Charge
	IsLate bool // the request cannot meet its latency objective
}

// UsageReport reports to the owner the units that a member has used without the owner's response.
type UsageReport struct{ Charge }

// Response is the owner's response to a [Request].
type Response struct {
	Number        uint64
	IsGranted     bool
	Wait          time.Duration // if not granted: time until the next quota request
	GrantFraction float64       // granted fraction of recent requests, 0 to 1
}

// Return returns the units of a granted request to the owner, or its lease under a limit in flight.
type Return struct {
	Number   uint64
	Customer uint64
	Units    float64
}

func (Request) isMessage()     {}
func (UsageReport) isMessage() {}
func (Response) isMessage()    {}
func (Return) isMessage()      {}

// Report is the sender's information about the fleet and its servers. It is appended to all messages except [Return].
type Report struct {
	FleetMeans overload.Means // zero if not known yet
	Findings   []Finding      // at most MaxFindings
}

// MaxFindings is the maximum number of findings in a [Report].
const MaxFindings = 4

// Finding is an instance's evidence about a server: that it is unresponsive, or that it responds again.
type Finding struct {
	ServerID uint16 // hash of the server's ID
	IsUp     bool
	FoundAt  time.Duration // clock reading; set for own findings only, and not sent
}

const (
	retryAfterUnit     = 10 * time.Millisecond // unit of the wait in a response
	maxWaitUnits       = 6000                  // a longer wait is truncated
	grantFractionSteps = 15                    // steps of the grant fraction in a response
	fleetMeanSteps     = 256                   // steps per unit of a fleet mean
	maxFleetMean       = 1e6                   // in steps
	serverIDBits       = 16                    // bits of a server's ID in a finding
)

// EncodeRequest encodes the kind, the number, the customer, the scope, the units and the report.
func (c Codec) EncodeRequest(m Request, report Report) []byte {
	kind := byte(kindQuotaRequest)
	if m.IsLate {
		kind = kindLateQuotaRequest
	}
	return appendReport(c.appendCharge([]byte{kind}, m.Charge), report)
}

// EncodeUsageReport encodes the same fields as [Codec.EncodeRequest] under another kind.
func (c Codec) EncodeUsageReport(m UsageReport, report Report) []byte {
	return appendReport(c.appendCharge([]byte{kindUsageReport}, m.Charge), report)
}

func (c Codec) appendCharge(b []byte, m Charge) []byte {
	b = binary.AppendUvarint(b, m.Number)
	b = binary.AppendUvarint(b, m.Customer)
	b = binary.AppendUvarint(b, c.encodeScope(m.Scope))
	return binary.AppendVarint(b, roundedUnits(m.Units))
}

// EncodeResponse encodes the kind, the number, the packed decision and the report. The packed decision is the grant
// fraction in steps. If the request is not granted, (1 + the wait in retryAfterUnit) times the number of possible
// fractions is added.
func (c Codec) EncodeResponse(m Response, report Report) []byte {
	packedDecision := uint64(math.Round(m.GrantFraction * grantFractionSteps))
	if !m.IsGranted {
		packedDecision += (1 + uint64(max(m.Wait, 0)/retryAfterUnit)) * (grantFractionSteps + 1)
	}
	b := binary.AppendUvarint([]byte{kindQuotaResponse}, m.Number)
	return appendReport(binary.AppendUvarint(b, packedDecision), report)
}

// EncodeReturn encodes the kind, the number, the customer and the units.
func EncodeReturn(m Return) []byte {
	b := binary.AppendUvarint([]byte{kindQuotaReturn}, m.Number)
	b = binary.AppendUvarint(b, m.Customer)
	return binary.AppendVarint(b, roundedUnits(m.Units))
}

// DecodeMessage decodes a message that is not gossip, and the report at its end if messages of its kind have one. It
// returns an error if any part of the message is malformed.
func (c Codec) DecodeMessage(message []byte) (m Message, report Report, err error) {
	r := varintReader{rest: message[1:]}
	switch message[0] {
	case kindQuotaRequest:
		m = Request{Charge: c.readCharge(&r)}
	case kindLateQuotaRequest:
		m = Request{Charge: c.readCharge(&r), IsLate: true}
	case kindUsageReport:
		m = UsageReport{c.readCharge(&r)}
	case kindQuotaResponse:
		m = readResponse(&r)
	case kindQuotaReturn:
		m = Return{Number: r.uint(), Customer: r.uint(), Units: float64(r.int())}
	default:
		return nil, Report{}, errMalformed
	}
	if message[0] != kindQuotaReturn {
		report = readReport(&r)
	}
	return m, report, r.err()
}

func (c Codec) readCharge(r *varintReader) Charge {
	m := Charge{Number: r.uint(), Customer: r.uint(), Scope: c.readScope(r), Units: float64(r.int())}
	r.malformed = r.malformed || m.Units < 0
	return m
}

func readResponse(r *varintReader) Response {
	m := Response{Number: r.uint()}
	packedDecision := r.uint()
	m.GrantFraction = float64(packedDecision%(grantFractionSteps+1)) / grantFractionSteps
	waitUnits := packedDecision / (grantFractionSteps + 1)
	m.IsGranted = waitUnits == 0
	m.Wait = time.Duration(min(max(waitUnits, 1)-1, maxWaitUnits)) * retryAfterUnit
	return m
}

// appendReport appends the means in steps and then, if there are any findings, their count and each finding.
func appendReport(b []byte, report Report) []byte {
	for _, mean := range report.FleetMeans {
		steps := math.Round(math.Min(mean*fleetMeanSteps, maxFleetMean))
		b = binary.AppendVarint(b, int64(steps))
	}
	if len(report.Findings) == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(len(report.Findings)))
	for _, finding := range report.Findings {
		b = binary.AppendUvarint(b, encodeFinding(finding))
	}
	return b
}

// encodeFinding packs a finding into one number.
func encodeFinding(finding Finding) uint64 {
	packed := uint64(finding.ServerID) << 1
	if finding.IsUp {
		packed |= 1
	}
	return packed
}

func readReport(r *varintReader) (report Report) {
	for i := range report.FleetMeans {
		report.FleetMeans[i] = float64(r.int()) / fleetMeanSteps
	}
	if len(r.rest) == 0 || r.malformed {
		return report
	}
	count := r.uint()
	r.malformed = r.malformed || count == 0 || count > MaxFindings
	for ; count > 0 && !r.malformed; count-- {
		packed := r.uint()
		r.malformed = r.malformed || packed>>(serverIDBits+1) != 0
		report.Findings = append(report.Findings, Finding{ServerID: uint16(packed >> 1), IsUp: packed&1 == 1})
	}
	return report
}
