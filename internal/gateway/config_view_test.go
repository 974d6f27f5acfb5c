package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/bytebudget"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/operator"
	"github.com/balsamstair/balsamstair/internal/routing"
	"github.com/balsamstair/balsamstair/internal/scheduler"
	"github.com/shoenig/test/must"
)

// Guards against a route that is denied as unknown since a newer configuration, which has
// it, was adopted and confirmed between the loads of the table and of its age.
func TestRouteIsNotDeniedWhileItsConfigurationArrives(t *testing.T) {
	outdated, current := routing.NewTable(routing.Config{Version: 1}), routing.NewTable(*config(nil))
	for range 20_000 {
		h := NewHandler(Config{
			Now: func() scheduler.Instant { return scheduler.Instant(time.Hour) }, Dialect: testDialect{},
			Post: func(scheduler.Event) {}, Log: logline.Discard(), Counters: operator.NewCounters(),
			Budget: bytebudget.New(bytebudget.Config{Bytes: 1 << 20}),
		})
		h.HandleEffect(scheduler.ConfigAdopted{Table: outdated})
		done := make(chan struct{})
		go func() {
			h.HandleEffect(scheduler.ConfigAdopted{Table: current})
			h.HandleEffect(scheduler.ConfigConfirmed{At: scheduler.Instant(time.Hour)})
			close(done)
		}()
		answer := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "http://h.example/x/1", nil)
		h.ServeHTTP(answer, r)
		<-done
		// The request has no key: 401 if its route is known.
		must.NotEq(t, http.StatusNotFound, answer.Code)
	}
}
