package clientcrowd

import (
	"net/http"
	"testing"
)

// Guards against bodies that are kept although their path has no route.
func TestIncompleteBodiesWithoutARoute(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, sendShortBody(noRoute))
	p.check(t)
}

// Guards against bodies over the limit that are kept although their path has no route.
func TestHugeBodiesWithoutARoute(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.caller, sendHugeBody(noRoute))
	connectCrowd(t, bodyClients, p.caller, sendHugeChunks(noRoute))
	p.check(t)
}

// Guards against connections that stay open without limit because their clients never
// read that a path has no route: they are more than the descriptors.
func TestPipelinedRequestsWithoutARoute(t *testing.T) {
	p := startProcess(t, crowdedDescriptors)
	connectCrowd(t, slowClients, p.caller, sendPipeline(head(http.MethodPost, noRoute, "Content-Length: 2\r\n")+"{}"))
	p.check(t)
}

const readyPath = "/readyz"

// Guards against bodies that the operator interface keeps.
func TestIncompleteBodiesAtReadiness(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.operator, sendShortBody(readyPath))
	p.check(t)
}

// Guards against bodies over the limit that the operator interface keeps.
func TestHugeBodiesAtReadiness(t *testing.T) {
	p := startProcess(t, descriptors)
	connectCrowd(t, bodyClients, p.operator, sendHugeBody(readyPath))
	connectCrowd(t, bodyClients, p.operator, sendHugeChunks(readyPath))
	p.check(t)
}

// Guards against clients that take all descriptors with requests to the operator
// interface whose answers they never read.
func TestPipelinedRequestsAtReadiness(t *testing.T) {
	p := startProcess(t, crowdedDescriptors)
	connectCrowd(t, slowClients, p.operator, sendPipeline(head(http.MethodGet, readyPath, "")+head(http.MethodPost, readyPath, "Content-Length: 2\r\n")+"{}"))
	p.check(t)
}
