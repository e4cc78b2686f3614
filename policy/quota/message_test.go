package quota

import (
	"reflect"
	"testing"

	"mulleinmux/policy/overload"
)

// TestQuotaMessagesRoundTrip checks that a decoded quota message, and the report at its end, equal those encoded. The
// times of findings are not encoded.
func TestQuotaMessagesRoundTrip(t *testing.T) {
	codec := newTable(10, 300, 40).Codec()
	charge := Charge{Number: 300, Customer: 1 << 40, Scope: ownedScope, Units: 3}
	report := Report{
		FleetMeans: overload.Means{-0.5, 0.25, 2, 0, 1},
		Findings:   []Finding{{ServerID: 0xffff, IsUp: true}, {ServerID: 1}},
	}
	granted := Response{Number: 300, IsGranted: true, GrantFraction: 0.2}
	rejected := Response{Number: 300, Wait: 250 * ms, GrantFraction: 1}
	returned := Return{Number: 300, Customer: 1 << 40, Units: -2}
	for _, c := range []struct {
		name    string
		encoded []byte
		want    Message
		report  Report
	}{
		{"request", codec.EncodeRequest(Request{Charge: charge}, report), Request{Charge: charge}, report},
		{"late request", codec.EncodeRequest(Request{charge, true}, report), Request{charge, true}, report},
		{"spent", codec.EncodeUsageReport(UsageReport{charge}, Report{}), UsageReport{charge}, Report{}},
		{"granted", codec.EncodeResponse(granted, report), granted, report},
		{"rejected", codec.EncodeResponse(rejected, report), rejected, report},
		{"return", EncodeReturn(returned), returned, Report{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, gotReport, err := codec.DecodeMessage(c.encoded)
			if err != nil || got != c.want || !reflect.DeepEqual(gotReport, c.report) {
				t.Errorf("got message %+v, report %+v, error %v; want message %+v, report %+v",
					got, gotReport, err, c.want, c.report)
			}
			if _, _, err := codec.DecodeMessage(append(c.encoded, 0)); err == nil {
				t.Error("message with a trailing byte: got no error")
			}
		})
	}
}
