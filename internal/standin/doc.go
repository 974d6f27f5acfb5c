// Package standin holds small stand-ins for the systems around balsamstair:
// model engines, plain services and the platform. They speak the published
// protocols, bring about faults on demand and record every request that
// reached them, so that tests can compare what ran with what was claimed.
//
// Every stand-in is an http.Handler. Its control endpoints live under
// /standin/ and are not part of any published protocol.
package standin
