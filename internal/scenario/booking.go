package scenario

import (
	"net/http"
	"time"

	"mulleinmux/internal/testserver"
)

// Core time of the two kinds of operations. It is a fraction of the real core time, so that a
// short run has enough requests for the rules' checks.
const (
	checkWork = 12 * time.Millisecond
	bookWork  = 20 * time.Millisecond
)

// unitsFunc determines the units of a request as a site would.
type unitsFunc = func(version int, r *http.Request, body []byte) int

// routes returns the booking API of the sites. It is written by hand and not derived from the
// description, so that the gateway's interpretation of the description can be compared with it.
// price returns the fixed units of an operation in a version of the description.
func routes(price func(version int, operation string, units int) int) []testserver.Route {
	fixed := func(operation string, units int) unitsFunc {
		return func(version int, _ *http.Request, _ []byte) int { return price(version, operation, units) }
	}
	route := func(operation, method, template string, effect testserver.Effect, units unitsFunc) testserver.Route {
		work := bookWork
		if effect == testserver.Idempotent {
			work = checkWork
		}
		return testserver.Route{Operation: operation, Method: method, Template: "/v1" + template, Effect: effect,
			Work: work, Units: units}
	}
	read := func(operation, template string, units unitsFunc) testserver.Route {
		return route(operation, http.MethodGet, template, testserver.Idempotent, units)
	}
	book := func(operation, method, template string, units unitsFunc) testserver.Route {
		return route(operation, method, template, testserver.IdempotentWithKey, units)
	}
	change := func(operation, method, template string, units unitsFunc) testserver.Route {
		return route(operation, method, template, testserver.NonIdempotent, units)
	}
	bodyUnits, queryUnits, headerUnits := testserver.BodyUnits, testserver.QueryUnits, testserver.HeaderUnits
	return []testserver.Route{
		read("listDistricts", "/districts", fixed("listDistricts", 1)),
		read("getDistrict", "/districts/{district}", fixed("getDistrict", 1)),
		read("listDistrictSlots", "/districts/{district}/slots", queryUnits("days", -1)),
		read("getSlot", "/slots/{slot}", fixed("getSlot", 1)),
		route("searchSlots", http.MethodPost, "/slots/search", testserver.Idempotent, bodyUnits(1, "filter", "districts")),
		read("getAvailability", "/availability", headerUnits("X-Span-Weeks", 1)),
		read("listVisits", "/visits", queryUnits("pages", 1)),
		book("bookVisit", http.MethodPost, "/visits", bodyUnits(1, "installers")),
		read("newVisitForm", "/visits/new", fixed("newVisitForm", 1)),
		book("bookVisits", http.MethodPost, "/visits/batch", bodyUnits(-1, "count")),
		read("getVisit", "/visits/{visit}", fixed("getVisit", 1)),
		book("replaceVisit", http.MethodPut, "/visits/{visit}", bodyUnits(1, "installers")),
		change("changeVisit", http.MethodPatch, "/visits/{visit}", fixed("changeVisit", 2)),
		change("cancelVisit", http.MethodDelete, "/visits/{visit}", fixed("cancelVisit", 1)),
		book("confirmVisit", http.MethodPost, "/visits/{visit}/confirm", fixed("confirmVisit", 1)),
		read("getVisitSheet", "/visits/{visit}/sheet.pdf", fixed("getVisitSheet", 3)),
		change("holdSlot", http.MethodPost, "/holds", fixed("holdSlot", 1)),
		change("releaseHold", http.MethodDelete, "/holds/{hold}", fixed("releaseHold", 1)),
		read("listInstallers", "/installers", fixed("listInstallers", 2)),
		read("getInstaller", "/installers/{installer}", fixed("getInstaller", 1)),
		read("getDayReport", "/reports/{day}.csv", fixed("getDayReport", 5)),
	}
}

// sameUnits is a price function for units that are the same in each version of the description.
func sameUnits(_ int, _ string, units int) int { return units }

// calmMix returns requests of the two operations that most licensees use.
func calmMix() []testserver.RequestTemplate {
	return []testserver.RequestTemplate{
		{Operation: "listDistrictSlots", Method: "GET", Target: "/v1/districts/d{n}/slots?days=2", Weight: 56,
			RetriesAnyFailure: true},
		{Operation: "bookVisit", Method: "POST", Target: "/v1/visits", Header: "Idempotency-Key: {key}",
			Body: `{"district":"d{n}","installers":1}`, Weight: 44},
	}
}

// mixedMix returns requests of all operations, with units from each possible source: query, header, body and default.
func mixedMix() []testserver.RequestTemplate {
	key := "Idempotency-Key: {key}"
	return []testserver.RequestTemplate{
		{Operation: "listDistricts", Method: "GET", Target: "/v1/districts", Weight: 4, RetriesAnyFailure: true},
		{Operation: "getDistrict", Method: "GET", Target: "/v1/districts/Ilala%20{n}", Weight: 4,
			RetriesAnyFailure: true},
		{Operation: "listDistrictSlots", Method: "GET", Target: "/v1/districts/d{n}/slots?days=7", Weight: 8,
			RetriesAnyFailure: true},
		{Operation: "listDistrictSlots", Method: "GET", Target: "/v1/districts/d{n}/slots?x=%26days&days=1",
			Weight: 8, RetriesAnyFailure: true},
		{Operation: "getSlot", Method: "GET", Target: "/v1/slots/s{n}", Weight: 8, RetriesAnyFailure: true},
		{Operation: "getSlot", Method: "HEAD", Target: "/v1/slots/s{n}", Weight: 2, RetriesAnyFailure: true},
		{Operation: "searchSlots", Method: "POST", Target: "/v1/slots/search",
			Body: `{"filter":{"districts":3,"near":{"districts":9}}}`, Weight: 4, RetriesAnyFailure: true},
		{Operation: "getAvailability", Method: "GET", Target: "/v1/availability", Header: "X-Span-Weeks: 4",
			Weight: 3, RetriesAnyFailure: true},
		{Operation: "getAvailability", Method: "GET", Target: "/v1/availability", Weight: 3, RetriesAnyFailure: true},
		{Operation: "listVisits", Method: "GET", Target: "/v1/visits?pages=2", Weight: 4, RetriesAnyFailure: true},
		{Operation: "listVisits", Method: "GET", Target: "/v1/visits", Weight: 4, RetriesAnyFailure: true},
		{Operation: "bookVisit", Method: "POST", Target: "/v1/visits", Header: key, Body: `{"installers":2}`,
			Weight: 12},
		{Operation: "bookVisit", Method: "POST", Target: "/v1/visits", Header: key, Body: `{"slot":"s{n}"}`,
			Weight: 12},
		{Operation: "newVisitForm", Method: "GET", Target: "/v1/visits/new", Weight: 3, RetriesAnyFailure: true},
		{Operation: "bookVisits", Method: "POST", Target: "/v1/visits/batch", Header: key,
			Body: `{"visits":[{"installers":4}],"count":5}`, Weight: 2},
		{Operation: "getVisit", Method: "GET", Target: "/v1/visits/v{n}", Weight: 6, RetriesAnyFailure: true},
		{Operation: "replaceVisit", Method: "PUT", Target: "/v1/visits/v{n}", Header: key, Body: `{"installers":3}`,
			Weight: 2},
		{Operation: "changeVisit", Method: "PATCH", Target: "/v1/visits/v{n}", Body: `{"slot":"s2"}`, Weight: 2},
		{Operation: "cancelVisit", Method: "DELETE", Target: "/v1/visits/v{n}", Weight: 2},
		{Operation: "confirmVisit", Method: "POST", Target: "/v1/visits/v{n}/confirm", Header: key, Weight: 3},
		{Operation: "getVisitSheet", Method: "GET", Target: "/v1/visits/v{n}/sheet.pdf", Weight: 2,
			RetriesAnyFailure: true},
		{Operation: "holdSlot", Method: "POST", Target: "/v1/holds", Weight: 3},
		{Operation: "releaseHold", Method: "DELETE", Target: "/v1/holds/h{n}", Weight: 2},
		{Operation: "listInstallers", Method: "GET", Target: "/v1/installers", Weight: 2, RetriesAnyFailure: true},
		{Operation: "getInstaller", Method: "GET", Target: "/v1/installers/i{n}", Weight: 2, RetriesAnyFailure: true},
		{Operation: "getDayReport", Method: "GET", Target: "/v1/reports/2026-12-{n}.csv", Weight: 1,
			RetriesAnyFailure: true},
	}
}
