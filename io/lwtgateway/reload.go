package lwtgateway

import (
	"context"
	"os"
	"time"

	"lacewingtide/core/lwtretry"
	"lacewingtide/io/lwtlog"
)

// reloadInterval is the time between two reads of the settings file, which may change
// without a signal.
const reloadInterval = 5 * time.Second

// retryBudgetLimits returns the limits of the retry budgets.
func (bounds Bounds) retryBudgetLimits() lwtretry.SharedBudgetLimits {
	return lwtretry.SharedBudgetLimits{
		Ratio: bounds.RetryBudgetRatio, Extra: bounds.RetryBudgetExtra, Window: seconds(bounds.RetryBudgetWindowSeconds),
	}
}

// WatchSettings reloads the settings at each signal and every reloadInterval, until ctx is
// canceled. Only changed bounds take effect; other settings, such as addresses, are applied
// at the next start.
func (gateway *Gateway) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			gateway.reload(ctx, path, "signal")
		case <-ticker.C:
			gateway.reload(ctx, path, "interval")
		}
	}
}

func (gateway *Gateway) reload(ctx context.Context, path, cause string) {
	settings, err := LoadSettings(path)
	if err != nil {
		lwtlog.Warn(gateway.logger, "settings-ignored", "cause", cause, "err", err)
		return
	}
	changed := settings.Bounds != *gateway.bounds.Load()
	if changed {
		gateway.bounds.Store(&settings.Bounds)
		gateway.view.setRetryLimits(settings.Bounds.retryBudgetLimits())
		gateway.orderSender.setMinPause(ctx, settings.Bounds.minOrderPause())
	}
	if changed || cause == "signal" {
		lwtlog.Info(gateway.logger, "settings-read", "cause", cause, "bounds-changed", changed)
	}
}
