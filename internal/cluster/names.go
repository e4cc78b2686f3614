package cluster

// Some names in responses and metrics differ from the terms in the code. JSON keys are in the tags of the types
// ("halls" for sites, "refused" for rejected), and metric names are in metrics.go ("refusing" for rejecting, "twins"
// for name conflicts).

// rejectedLabel denotes rejected requests in metrics and rejected proposals in error messages.
const rejectedLabel = "refused"
