#include "quota_task.h"

#include "events.h"
#include "log.h"
#include "timeout.h"

#include <inttypes.h>

#define VIEW_MS 1000 /* between looks at the membership */

struct quota_task {
	const struct node_context *context;
	const struct membership *membership;
	struct quota_host *host;
	struct quota_owner *owner;
	uv_timer_t *timer; /* freed when it is closed */
	uint64_t due_ms; /* the timer fires */
	int overdue; /* a wait is over; input is read once more */
	GQueue waiting; /* struct quota_waiter, in order of until_ms */
	uint64_t limits_version; /* of the configuration; 0: none */
	uint64_t generation; /* of the membership, when last looked at */
	uint64_t viewed_ms;
	uint64_t logged_owner;
	int is_owner; /* shares are lent to this host */
};

/* Includes suspensions also before the node's tick has noticed them. */
static uint64_t now_ms(void)
{
	return boot_clock_ms();
}

static void count(const struct quota_task *task, enum counter counter)
{
	task->context->counters->values[counter]++;
}

static void on_timer(uv_timer_t *timer);

static int wait_is_over(struct quota_task *task)
{
	const struct quota_waiter *first = g_queue_peek_head(&task->waiting);

	return first && first->until_ms <= now_ms();
}

static void set_timer(struct quota_task *task)
{
	const struct quota_waiter *first = g_queue_peek_head(&task->waiting);
	uint64_t now = now_ms(), due_ms = quota_host_next_ms(task->host);
	uint64_t least_ms = task->overdue ? TIMEOUT_INPUT_DELAY_MS : 0;

	if (first)
		due_ms = MIN(due_ms, first->until_ms);
	if (due_ms == task->due_ms)
		return;
	task->due_ms = due_ms;
	if (due_ms == UINT64_MAX)
		uv_timer_stop(task->timer);
	else
		uv_timer_start(task->timer, on_timer,
			       due_ms > now ? due_ms - now : least_ms, 0);
}

static void dequeue(struct quota_waiter *waiter)
{
	g_queue_unlink(waiter->queue, &waiter->link);
	waiter->queue = NULL;
}

/* decided() may end other requests, which leaves them out of the queue. */
static void admit_all(GQueue *admitted)
{
	struct quota_waiter *waiter;

	while ((waiter = g_queue_peek_head(admitted))) {
		dequeue(waiter);
		waiter->decided(waiter, 1, 0);
	}
}

static void serve_waiting(struct quota_task *task)
{
	GQueue admitted = G_QUEUE_INIT;
	GList *next;

	for (GList *link = task->waiting.head; link; link = next) {
		struct quota_waiter *waiter = link->data;

		next = link->next;
		if (!quota_host_take(task->host, waiter->account, now_ms(),
				     &waiter->token))
			continue;
		dequeue(waiter);
		waiter->queue = &admitted;
		g_queue_push_tail_link(&admitted, &waiter->link);
	}
	admit_all(&admitted);
}

static void end_waits(struct quota_task *task)
{
	struct quota_waiter *waiter;
	uint32_t retry_ms;
	int admitted;

	while ((waiter = g_queue_peek_head(&task->waiting)) &&
	       waiter->until_ms <= now_ms()) {
		dequeue(waiter);
		admitted = quota_host_give_up(task->host, waiter->account,
					      now_ms(), &retry_ms);
		count(task, admitted ? COUNTER_quota_own_share :
				       COUNTER_quota_refused);
		waiter->decided(waiter, admitted, retry_ms);
	}
}

static void send_due(struct quota_task *task)
{
	Fescue__Packet *packet;
	uint64_t to;

	while ((packet = quota_host_poll(task->host, now_ms(), &to))) {
		count(task, COUNTER_quota_requests);
		node_context_send_control(task->context, to, packet);
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct quota_task *task = timer->data;

	task->due_ms = UINT64_MAX;
	send_due(task);
	if (task->overdue)
		end_waits(task);
	/* A reply may wait unread, so input is read before a wait ends. */
	task->overdue = wait_is_over(task);
	set_timer(task);
}

struct quota_task *quota_task_create(const struct node_context *context,
				     const struct membership *membership,
				     const struct quota_settings *settings)
{
	struct quota_task *task = g_new0(struct quota_task, 1);

	task->context = context;
	task->membership = membership;
	task->host = quota_host_create(settings, context->epoch, now_ms());
	task->owner = quota_owner_create(settings, context->epoch, now_ms());
	g_queue_init(&task->waiting);
	task->due_ms = UINT64_MAX;
	task->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(context->loop, task->timer);
	task->timer->data = task;
	return task;
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void quota_task_destroy(struct quota_task *task)
{
	if (!task)
		return;
	uv_timer_stop(task->timer);
	uv_close((uv_handle_t *)task->timer, on_timer_closed);
	quota_host_destroy(task->host);
	quota_owner_destroy(task->owner);
	g_free(task);
}

static struct quota_limit limit_of(const struct account_rule *account)
{
	return (struct quota_limit){ account->id, account->rate,
				     account->burst };
}

int quota_task_ask(struct quota_task *task, struct quota_waiter *waiter,
		   const struct account_rule *account)
{
	struct quota_limit limit = limit_of(account);
	uint64_t now = now_ms();

	waiter->account = account->id;
	if (quota_host_ask(task->host, &limit, now, &waiter->token))
		return 1;
	count(task, COUNTER_quota_waits);
	waiter->until_ms = now + QUOTA_WAIT_MS;
	waiter->queue = &task->waiting;
	waiter->link.data = waiter;
	g_queue_push_tail_link(&task->waiting, &waiter->link);
	set_timer(task);
	return 0;
}

void quota_task_preview(const struct quota_task *task,
			const struct account_rule *account,
			struct quota_preview *preview)
{
	struct quota_limit limit = limit_of(account);

	quota_host_preview(task->host, &limit, now_ms(), preview);
}

void quota_task_cancel(struct quota_task *task, struct quota_waiter *waiter)
{
	if (!waiter->queue)
		return;
	if (waiter->queue == &task->waiting)
		quota_host_cancel(task->host, waiter->account);
	else
		quota_task_return(task, waiter);
	dequeue(waiter);
}

void quota_task_return(struct quota_task *task, struct quota_waiter *waiter)
{
	count(task, COUNTER_quota_returned);
	quota_host_return(task->host, waiter->account, waiter->token);
	waiter->token = 0;
}

void quota_task_receive(struct quota_task *task, uint64_t from,
			const Fescue__Packet *packet)
{
	Fescue__Packet *reply;

	if (packet->body_case == FESCUE__PACKET__BODY_QUOTA_GRANT) {
		quota_host_receive(task->host, from, packet->quota_grant,
				   now_ms());
		serve_waiting(task);
		set_timer(task);
		return;
	}
	reply = quota_owner_handle(task->owner, from, packet->quota_request,
				   now_ms());
	if (!reply)
		return;
	count(task, COUNTER_quota_grants);
	node_context_send_control(task->context, from, reply);
}

/* Adopts the limits of a new version; a lower one applies at once. */
static void update_limits(struct quota_task *task,
			  const struct snapshot *snapshot)
{
	size_t n = snapshot_account_count(snapshot);
	struct quota_limit *limits;

	if (snapshot_version(snapshot) == task->limits_version)
		return;
	task->limits_version = snapshot_version(snapshot);
	limits = g_new(struct quota_limit, n + 1);
	for (size_t i = 0; i < n; i++)
		limits[i] = limit_of(snapshot_account(snapshot, i));
	quota_owner_set_limits(task->owner, limits, n);
	g_free(limits);
}

struct ranked_host {
	uint64_t address;
	uint32_t capacity;
	uint64_t weight;
};

static int is_better(const struct ranked_host *a, const struct ranked_host *b)
{
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->address < b->address;
}

static size_t rank(struct ranked_host *best, size_t n, struct ranked_host host)
{
	size_t i = n;

	while (i > 0 && is_better(&host, &best[i - 1])) {
		if (i < QUOTA_CANDIDATES)
			best[i] = best[i - 1];
		i--;
	}
	if (i < QUOTA_CANDIDATES)
		best[i] = host;
	return MIN(n + 1, QUOTA_CANDIDATES);
}

/* Dead hosts count as known: they may be cut off, and use their share. */
static void update_view(struct quota_task *task)
{
	const struct membership *m = task->membership;
	struct ranked_host best[QUOTA_CANDIDATES];
	uint64_t candidates[QUOTA_CANDIDATES];
	uint32_t known = 0;
	size_t n = 0;

	for (size_t i = 0; i < membership_count(m); i++) {
		const struct host *host = membership_host(m, i);
		struct ranked_host entry = {
			host->address, host->capacity,
			host_rendezvous_weight(host->address, "quota", 0)
		};

		known += host->state != HOST_LEFT;
		if (host_is_up(host))
			n = rank(best, n, entry);
	}
	for (size_t i = 0; i < n; i++)
		candidates[i] = best[i].address;
	quota_host_set_candidates(task->host, candidates, n, known, now_ms());
	quota_owner_set_known(task->owner, known);
}

static void log_changes(struct quota_task *task)
{
	uint64_t owner = quota_host_owner(task->host);
	uint32_t shares = quota_owner_shares(task->owner, now_ms());
	char text[ADDRESS_TEXT_BYTES];

	if (owner != task->logged_owner && owner)
		log_event(LOG_STATE, "quota_owner", "\"host\":\"%s\"",
			  address_format(address_from_key(owner), text));
	task->logged_owner = owner;
	if (!shares != !task->is_owner)
		log_event(LOG_STATE,
			  shares ? "quota_shares_lent" : "quota_shares_gone",
			  "\"shares\":%u", shares);
	task->is_owner = shares != 0;
}

void quota_task_await_peers(struct quota_task *task)
{
	quota_host_await_peers(task->host);
}

void quota_task_peers_known(struct quota_task *task, int has_met)
{
	if (!quota_host_awaits_peers(task->host))
		return;
	update_view(task);
	quota_host_peers_known(task->host, has_met, now_ms());
	log_event(LOG_STATE, "quota_peers_known", "\"has_met\":%d", has_met);
}

void quota_task_tick(struct quota_task *task, const struct snapshot *snapshot)
{
	uint64_t generation = membership_generation(task->membership);
	uint64_t now = now_ms();

	if (snapshot)
		update_limits(task, snapshot);
	if (generation == task->generation && now < task->viewed_ms + VIEW_MS)
		return;
	task->generation = generation;
	task->viewed_ms = now;
	update_view(task);
	log_changes(task);
	set_timer(task);
}

void quota_task_stop(struct quota_task *task)
{
	quota_host_stop(task->host);
	quota_owner_stop(task->owner);
	set_timer(task);
}
