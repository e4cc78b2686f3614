package scenario

import (
	"net/http"
	"time"

	"mulleinmux/internal/testserver"
)

// Work of the two kinds of operations. It is a part of the real one, so that a short run
// has enough requests to judge by.
const (
	checkWork = 12 * time.Millisecond
	bookWork  = 20 * time.Millisecond
)

// routes is the booking API as the sites know it, written by hand and not taken from the
// description: what the gateway makes of that is held against it. With a price, an
// operation's fixed units depend on the version of the description.
func routes(price func(version int, operation string, units int) int) []testserver.Route {
	var rs []testserver.Route
	add := func(op, method, template, effect string, work time.Duration, units func(int, *http.Request, []byte) int) {
		rs = append(rs, testserver.Route{Operation: op, Method: method, Template: "/v1" + template, Effect: effect,
			Work: work, Units: units})
	}
	fixed := func(op string, n int) func(int, *http.Request, []byte) int {
		return func(version int, _ *http.Request, _ []byte) int { return price(version, op, n) }
	}
	read := func(op, template string, n int) { add(op, "GET", template, "safe", checkWork, fixed(op, n)) }
	read("listDistricts", "/districts", 1)
	read("getDistrict", "/districts/{district}", 1)
	add("listDistrictSlots", "GET", "/districts/{district}/slots", "safe", checkWork, testserver.QueryUnits("days", -1))
	read("getSlot", "/slots/{slot}", 1)
	add("searchSlots", "POST", "/slots/search", "safe", checkWork, testserver.BodyUnits(1, "filter", "districts"))
	add("getAvailability", "GET", "/availability", "safe", checkWork, testserver.HeaderUnits("X-Span-Weeks", 1))
	add("listVisits", "GET", "/visits", "safe", checkWork, testserver.QueryUnits("pages", 1))
	add("bookVisit", "POST", "/visits", "keyed", bookWork, testserver.BodyUnits(1, "installers"))
	read("newVisitForm", "/visits/new", 1)
	add("bookVisits", "POST", "/visits/batch", "keyed", bookWork, testserver.BodyUnits(-1, "count"))
	read("getVisit", "/visits/{visit}", 1)
	add("replaceVisit", "PUT", "/visits/{visit}", "keyed", bookWork, testserver.BodyUnits(1, "installers"))
	add("changeVisit", "PATCH", "/visits/{visit}", "unsafe", bookWork, fixed("changeVisit", 2))
	add("cancelVisit", "DELETE", "/visits/{visit}", "unsafe", bookWork, fixed("cancelVisit", 1))
	add("confirmVisit", "POST", "/visits/{visit}/confirm", "keyed", bookWork, fixed("confirmVisit", 1))
	read("getVisitSheet", "/visits/{visit}/sheet.pdf", 3)
	add("holdSlot", "POST", "/holds", "unsafe", bookWork, fixed("holdSlot", 1))
	add("releaseHold", "DELETE", "/holds/{hold}", "unsafe", bookWork, fixed("releaseHold", 1))
	read("listInstallers", "/installers", 2)
	read("getInstaller", "/installers/{installer}", 1)
	read("getDayReport", "/reports/{day}.csv", 5)
	return rs
}

// sameUnits is a price that is the same in each version of the description.
func sameUnits(_ int, _ string, units int) int { return units }

// calmMix is the two operations that most licensees use.
func calmMix() []testserver.RequestTemplate {
	return []testserver.RequestTemplate{
		{Operation: "listDistrictSlots", Method: "GET", Target: "/v1/districts/d{n}/slots?days=2", Weight: 56,
			Repeat: true},
		{Operation: "bookVisit", Method: "POST", Target: "/v1/visits", Header: "Idempotency-Key: {key}",
			Body: `{"district":"d{n}","installers":1}`, Weight: 44},
	}
}

// mixedMix has all operations, with units from each place that may tell them.
func mixedMix() []testserver.RequestTemplate {
	key := "Idempotency-Key: {key}"
	return []testserver.RequestTemplate{
		{Operation: "listDistricts", Method: "GET", Target: "/v1/districts", Weight: 4, Repeat: true},
		{Operation: "getDistrict", Method: "GET", Target: "/v1/districts/Ilala%20{n}", Weight: 4, Repeat: true},
		{Operation: "listDistrictSlots", Method: "GET", Target: "/v1/districts/d{n}/slots?days=7", Weight: 8,
			Repeat: true},
		{Operation: "listDistrictSlots", Method: "GET", Target: "/v1/districts/d{n}/slots?x=%26days&days=1",
			Weight: 8, Repeat: true},
		{Operation: "getSlot", Method: "GET", Target: "/v1/slots/s{n}", Weight: 8, Repeat: true},
		{Operation: "getSlot", Method: "HEAD", Target: "/v1/slots/s{n}", Weight: 2, Repeat: true},
		{Operation: "searchSlots", Method: "POST", Target: "/v1/slots/search",
			Body: `{"filter":{"districts":3,"near":{"districts":9}}}`, Weight: 4, Repeat: true},
		{Operation: "getAvailability", Method: "GET", Target: "/v1/availability", Header: "X-Span-Weeks: 4",
			Weight: 3, Repeat: true},
		{Operation: "getAvailability", Method: "GET", Target: "/v1/availability", Weight: 3, Repeat: true},
		{Operation: "listVisits", Method: "GET", Target: "/v1/visits?pages=2", Weight: 4, Repeat: true},
		{Operation: "listVisits", Method: "GET", Target: "/v1/visits", Weight: 4, Repeat: true},
		{Operation: "bookVisit", Method: "POST", Target: "/v1/visits", Header: key, Body: `{"installers":2}`,
			Weight: 12},
		{Operation: "bookVisit", Method: "POST", Target: "/v1/visits", Header: key, Body: `{"slot":"s{n}"}`,
			Weight: 12},
		{Operation: "newVisitForm", Method: "GET", Target: "/v1/visits/new", Weight: 3, Repeat: true},
		{Operation: "bookVisits", Method: "POST", Target: "/v1/visits/batch", Header: key,
			Body: `{"visits":[{"installers":4}],"count":5}`, Weight: 2},
		{Operation: "getVisit", Method: "GET", Target: "/v1/visits/v{n}", Weight: 6, Repeat: true},
		{Operation: "replaceVisit", Method: "PUT", Target: "/v1/visits/v{n}", Header: key, Body: `{"installers":3}`,
			Weight: 2},
		{Operation: "changeVisit", Method: "PATCH", Target: "/v1/visits/v{n}", Body: `{"slot":"s2"}`, Weight: 2},
		{Operation: "cancelVisit", Method: "DELETE", Target: "/v1/visits/v{n}", Weight: 2},
		{Operation: "confirmVisit", Method: "POST", Target: "/v1/visits/v{n}/confirm", Header: key, Weight: 3},
		{Operation: "getVisitSheet", Method: "GET", Target: "/v1/visits/v{n}/sheet.pdf", Weight: 2, Repeat: true},
		{Operation: "holdSlot", Method: "POST", Target: "/v1/holds", Weight: 3},
		{Operation: "releaseHold", Method: "DELETE", Target: "/v1/holds/h{n}", Weight: 2},
		{Operation: "listInstallers", Method: "GET", Target: "/v1/installers", Weight: 2, Repeat: true},
		{Operation: "getInstaller", Method: "GET", Target: "/v1/installers/i{n}", Weight: 2, Repeat: true},
		{Operation: "getDayReport", Method: "GET", Target: "/v1/reports/2026-12-{n}.csv", Weight: 1, Repeat: true},
	}
}
