package multisite

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// fullMessage has a value in every field.
var fullMessage = Message{
	From: 3, Incarnation: 5, SequenceNumber: 7, Uptime: time.Minute, Epoch: 11,
	SentKeys: []SentKey{{13, "east", 17 * time.Millisecond}}, HasUnrecordedKeys: true, KeyTTL: time.Hour,
	Views: []SiteView{{"east", true, time.Second, 2.5, true}, {"west", false, -1, 0, false}},
	Ramp: &RampMessage{
		RequestID: 19,
		Loads:     []WarmServerLoad{{"east", 1.5, -1}},
		Requests:  []ShareRequest{{"east", 0.25}},
		Grants:    []ShareGrant{{"west", 2, 23, 0.125}},
	},
	Confirmation: &ConfirmationMessage{29, 31, []ConfirmationAnswer{{2, 37}}},
}

// fullMessageJSON is the recorded JSON of fullMessage.
const fullMessageJSON = `{"From":3,"Incarnation":5,"Seq":7,"Age":60000000000,"Epoch":11,` +
	`"Sent":[{"Key":13,"Hall":"east","Ago":17000000}],"Full":true,"Life":3600000000000,` +
	`"Views":[{"Hall":"east","Silent":true,"For":1000000000,"Carry":2.5,"Far":true},` +
	`{"Hall":"west","Silent":false,"For":-1,"Carry":0}],` +
	`"Ramp":{"Ask":19,"Carried":[{"Hall":"east","Rate":1.5,"Util":-1}],` +
	`"Asks":[{"Hall":"east","Share":0.25}],"Grants":[{"Hall":"west","To":2,"Ask":23,"Share":0.125}]},` +
	`"Consent":{"Ask":29,"Fence":31,"Heard":[{"Of":2,"Ask":37}]}}`

// TestMessageJSON pins the JSON of every type that instances send to each other: instances of this version and of the
// previous one must be able to read each other's messages. The texts are recorded and must not change if a field is
// renamed.
func TestMessageJSON(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"a message with all that it can hold", fullMessage, fullMessageJSON},
		{"an empty message", Message{},
			`{"From":0,"Incarnation":0,"Seq":0,"Age":0,"Epoch":0,"Sent":null,"Full":false,"Life":0}`},
		{"a sent key", SentKey{1, "a", 2}, `{"Key":1,"Hall":"a","Ago":2}`},
		{"an empty view", SiteView{}, `{"Hall":"","Silent":false,"For":0,"Carry":0}`},
		{"an empty ramp message", RampMessage{}, `{"Ask":0}`},
		{"an empty load of warm servers", WarmServerLoad{}, `{"Hall":"","Rate":0,"Util":0}`},
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
				t.Errorf("wrong JSON: got\n%s\nwant\n%s", text, c.want)
			}
			decoded := reflect.New(reflect.TypeOf(c.value))
			if err := json.Unmarshal([]byte(c.want), decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, c.value) {
				t.Errorf("decoded JSON: got %+v, want %+v", got, c.value)
			}
		})
	}
}

// checkTexts checks the text of each value; want holds the values by their expected text.
func checkTexts[T fmt.Stringer](t *testing.T, want map[string]T) {
	t.Helper()
	for text, value := range want {
		t.Run(text, func(t *testing.T) {
			if got := value.String(); got != text {
				t.Errorf("text of %#v: got %q, want %q", value, got, text)
			}
		})
	}
}

// TestExecutionStatusTexts pins the texts that sites exchange in a header.
func TestExecutionStatusTexts(t *testing.T) {
	statuses := map[string]ExecutionStatus{
		"never":    NeverExecuted,
		"underway": Executing,
		"ran":      Executed,
		"unknown":  ExecutionUnknown,
	}
	checkTexts(t, statuses)
	statuses["else"] = ExecutionUnknown
	for text, want := range statuses {
		if got := ParseExecutionStatus(text); got != want {
			t.Errorf("ParseExecutionStatus(%q): got %v, want %v", text, got, want)
		}
	}
}

// TestSiteStateTexts pins the texts of the management API.
func TestSiteStateTexts(t *testing.T) {
	checkTexts(t, map[string]SiteState{
		"well":      SiteHealthy,
		"doubted":   SiteSuspected,
		"cut off":   SitePartitioned,
		"lost":      SiteLost,
		"returning": SiteRecovering,
		"cold":      SiteWarmingUp,
	})
}
