// Package clientcrowd tests that clients which misbehave in groups do not end a balsamd
// process. It contains tests only: each starts one process with a low memory limit.
package clientcrowd
