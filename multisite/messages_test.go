package multisite

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// TestMessageJSON pins the JSON of every type that instances send each other: an instance of the version before must
// read what this one writes, and the other way round. The texts are recorded; they don't follow renamed fields.
func TestMessageJSON(t *testing.T) {
	full := Message{
		From: 3, Incarnation: 5, SequenceNumber: 7, Uptime: time.Minute, Epoch: 11,
		SentKeys: []SentKey{{13, "east", 17 * time.Millisecond}}, HasUnrecordedKeys: true, KeyTTL: time.Hour,
		Views: []SiteView{{"east", true, time.Second, 2.5, true}, {"west", false, -1, 0, false}},
		Ramp: &RampMessage{
			RequestID: 19,
			Loads:     []WarmLoad{{"east", 1.5, -1}},
			Requests:  []ShareRequest{{"east", 0.25}},
			Grants:    []ShareGrant{{"west", 2, 23, 0.125}},
		},
		Confirmation: &ConfirmationMessage{29, 31, []ConfirmationAnswer{{2, 37}}},
	}
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"a message with all that it can hold", full,
			`{"From":3,"Incarnation":5,"Seq":7,"Age":60000000000,"Epoch":11,` +
				`"Sent":[{"Key":13,"Hall":"east","Ago":17000000}],"Full":true,"Life":3600000000000,` +
				`"Views":[{"Hall":"east","Silent":true,"For":1000000000,"Carry":2.5,"Far":true},` +
				`{"Hall":"west","Silent":false,"For":-1,"Carry":0}],` +
				`"Ramp":{"Ask":19,"Carried":[{"Hall":"east","Rate":1.5,"Util":-1}],` +
				`"Asks":[{"Hall":"east","Share":0.25}],"Grants":[{"Hall":"west","To":2,"Ask":23,"Share":0.125}]},` +
				`"Consent":{"Ask":29,"Fence":31,"Heard":[{"Of":2,"Ask":37}]}}`},
		{"an empty message", Message{},
			`{"From":0,"Incarnation":0,"Seq":0,"Age":0,"Epoch":0,"Sent":null,"Full":false,"Life":0}`},
		{"a sent key", SentKey{1, "a", 2}, `{"Key":1,"Hall":"a","Ago":2}`},
		{"an empty view", SiteView{}, `{"Hall":"","Silent":false,"For":0,"Carry":0}`},
		{"an empty ramp message", RampMessage{}, `{"Ask":0}`},
		{"an empty load of warm servers", WarmLoad{}, `{"Hall":"","Rate":0,"Util":0}`},
		{"an empty request for a share", ShareRequest{}, `{"Hall":"","Share":0}`},
		{"an empty grant of a share", ShareGrant{}, `{"Hall":"","To":0,"Ask":0,"Share":0}`},
		{"an empty confirmation message", ConfirmationMessage{}, `{"Ask":0,"Fence":0}`},
		{"an empty confirmation answer", ConfirmationAnswer{}, `{"Of":0,"Ask":0}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(text) != c.want {
				t.Errorf("JSON is\n%s\nwant\n%s", text, c.want)
			}
			decoded := reflect.New(reflect.TypeOf(c.value))
			if err := json.Unmarshal([]byte(c.want), decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, c.value) {
				t.Errorf("decoded as %+v, want %+v", got, c.value)
			}
		})
	}
}

// TestExecutionStatusTexts pins the texts that sites exchange in a header.
func TestExecutionStatusTexts(t *testing.T) {
	for status, want := range map[ExecutionStatus]string{
		NeverExecuted:    "never",
		Executing:        "underway",
		Executed:         "ran",
		ExecutionUnknown: "unknown",
	} {
		t.Run(want, func(t *testing.T) {
			if got := status.String(); got != want {
				t.Errorf("status %d is %q, want %q", int(status), got, want)
			}
			if got := ParseExecutionStatus(want); got != status {
				t.Errorf("%q is parsed as %v", want, got)
			}
		})
	}
	if got := ParseExecutionStatus("else"); got != ExecutionUnknown {
		t.Errorf("an unknown text is parsed as %v", got)
	}
}

// TestSiteStateTexts pins the texts of management answers.
func TestSiteStateTexts(t *testing.T) {
	for state, want := range map[SiteState]string{
		SiteHealthy:     "well",
		SiteSuspected:   "doubted",
		SitePartitioned: "cut off",
		SiteLost:        "lost",
		SiteRecovering:  "returning",
		SiteWarmingUp:   "cold",
	} {
		t.Run(want, func(t *testing.T) {
			if got := state.String(); got != want {
				t.Errorf("state %d is %q, want %q", int(state), got, want)
			}
		})
	}
}
