package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

func Example() {
	client := consul.NewWithTransport("http://kv", kv.New().Transport())
	claims, err := claim.New(client, claim.Config{Secret: []byte("the same everywhere"), Retention: time.Hour})
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	req := claim.Request{Caller: "nile-press", Service: "orders-desk", Key: claim.NewKey(time.Now(), "3f6c21d09a")}
	attempt, err := claims.Claim(ctx, req)
	if err != nil {
		panic(err) // must not run
	}
	// Place the order here.
	attempt.Finish(outcome.Served)
	if err := claims.Flush(ctx); err != nil {
		panic(err)
	}
	_, err = claims.Claim(ctx, req)
	fmt.Println(err)
	// Output: claim: held by an attempt with outcome served
}
