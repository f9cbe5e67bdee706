/* The quota of a call's account, asked before the first attempt. */
#include "caller_state.h"

static void on_decided(struct quota_waiter *waiter, int admitted,
		       uint32_t retry_ms)
{
	struct call *c = waiter->data;

	if (admitted) {
		call_start_admitted(c);
		return;
	}
	c->quota.account = 0;
	c->retry_after_ms = retry_ms;
	call_refuse(c, 429, CALLER_REASON_QUOTA);
}

int caller_quota_admits(struct call *c)
{
	struct quota_task *quota = c->table->settings.quota;

	if (!quota || !c->account || !c->account->rate)
		return 1;
	c->quota.decided = on_decided;
	c->quota.data = c;
	return quota_task_ask(quota, &c->quota, c->account);
}

void caller_quota_end(struct call *c, int not_run)
{
	struct quota_task *quota = c->table->settings.quota;

	if (!c->quota.account)
		return;
	if (c->quota.queue)
		quota_task_cancel(quota, &c->quota);
	else if (not_run)
		quota_task_return(quota, &c->quota);
	c->quota.account = 0;
}
