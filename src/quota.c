/* Host side of quotas: tokens, waiting requests and the host's own share. */
#include "quota_state.h"

#define RETURNS_MAX 40 /* grants of which credits are kept */
#define RETRY_DEFAULT_MS 500
#define MS_PER_S 1000.0

struct quota_host *quota_host_create(const struct quota_settings *settings,
				     uint64_t run, uint64_t now_ms)
{
	struct quota_host *h = g_new0(struct quota_host, 1);

	h->settings = *settings;
	h->run = run;
	h->start_ms = now_ms;
	h->settled_ms = now_ms + QUOTA_SETTLE_MS;
	h->known = 1;
	h->returned = g_array_new(FALSE, FALSE, sizeof(struct quota_returned));
	h->accounts = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	return h;
}

void quota_host_destroy(struct quota_host *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->accounts);
	g_array_free(h->returned, TRUE);
	g_free(h);
}

void quota_host_await_peers(struct quota_host *h)
{
	h->settled_ms = UINT64_MAX;
}

int quota_host_awaits_peers(const struct quota_host *h)
{
	return h->settled_ms == UINT64_MAX;
}

void quota_host_peers_known(struct quota_host *h, int has_met, uint64_t now_ms)
{
	if (!quota_host_awaits_peers(h))
		return;
	h->settled_ms = h->start_ms + QUOTA_SETTLE_MS;
	if (has_met)
		h->settled_ms = MAX(h->settled_ms, now_ms + QUOTA_SPREAD_MS);
}

void quota_host_stop(struct quota_host *h)
{
	h->stopped = 1;
}

uint64_t quota_host_owner(const struct quota_host *h)
{
	return h->owner;
}

struct quota_account *quota_find_account(const struct quota_host *h,
					 uint32_t id)
{
	return g_hash_table_lookup(h->accounts, GUINT_TO_POINTER(id));
}

static struct quota_account *get_account(struct quota_host *h,
					 const struct quota_limit *limit)
{
	struct quota_account *a = quota_find_account(h, limit->id);

	if (!a) {
		a = g_new0(struct quota_account, 1);
		g_hash_table_insert(h->accounts, GUINT_TO_POINTER(limit->id),
				    a);
	}
	a->limit = *limit;
	return a;
}

/* Tokens of the owner that are still valid. */
static uint32_t valid_tokens(const struct quota_account *a, uint64_t now_ms)
{
	return now_ms < a->born_ms + QUOTA_TOKEN_MS ? a->tokens : 0;
}

static int take_token(struct quota_account *a, uint64_t now_ms, uint64_t *token)
{
	if (!valid_tokens(a, now_ms))
		return 0;
	a->tokens--;
	*token = a->token;
	return 1;
}

/* A started host doesn't know all others yet, so neither its share. */
static uint64_t own_share_from_ms(const struct quota_host *h)
{
	return MAX(h->lent_until_ms, h->settled_ms);
}

/* Tokens of the host's own share, which fills while it is not lent. */
static double own_level(const struct quota_host *h,
			const struct quota_account *a, uint64_t now_ms)
{
	uint64_t from_ms = MAX(own_share_from_ms(h), a->own_ms);
	struct quota_bucket all = quota_bucket_of(&h->settings, &a->limit);
	double level = a->own_lending == h->lending ? a->own_level : 0;

	if (h->stopped || now_ms < from_ms)
		return 0;
	level += (double)(now_ms - from_ms) / MS_PER_S * all.rate / h->known;
	return MIN(level, all.depth / h->known);
}

/* Takes a token of the host's own share. */
static int take_own(const struct quota_host *h, struct quota_account *a,
		    uint64_t now_ms)
{
	uint64_t from_ms = MAX(own_share_from_ms(h), a->own_ms);
	double level = own_level(h, a, now_ms);

	if (a->own_lending != h->lending)
		a->own_level = 0;
	a->own_lending = h->lending;
	if (h->stopped || now_ms < from_ms)
		return 0;
	a->own_level = level;
	a->own_ms = now_ms;
	if (a->own_level < 1)
		return 0;
	a->own_level -= 1;
	return 1;
}

int quota_host_ask(struct quota_host *h, const struct quota_limit *limit,
		   uint64_t now_ms, uint64_t *token)
{
	struct quota_account *a = get_account(h, limit);

	a->arrived++;
	*token = 0;
	if (!a->waiting && take_token(a, now_ms, token))
		return 1;
	if (take_own(h, a, now_ms))
		return 1;
	a->waiting++;
	h->waiting++;
	return 0;
}

static void end_wait(struct quota_host *h, struct quota_account *a)
{
	a->waiting--;
	h->waiting--;
}

int quota_host_take(struct quota_host *h, uint32_t id, uint64_t now_ms,
		    uint64_t *token)
{
	struct quota_account *a = quota_find_account(h, id);

	if (!a || !a->waiting || !take_token(a, now_ms, token))
		return 0;
	end_wait(h, a);
	return 1;
}

int quota_host_give_up(struct quota_host *h, uint32_t id, uint64_t now_ms,
		       uint32_t *retry_ms)
{
	struct quota_account *a = quota_find_account(h, id);

	*retry_ms = RETRY_DEFAULT_MS;
	if (!a || !a->waiting)
		return 0;
	end_wait(h, a);
	if (a->retry_ms)
		*retry_ms = a->retry_ms;
	return take_own(h, a, now_ms);
}

void quota_host_cancel(struct quota_host *h, uint32_t id)
{
	struct quota_account *a = quota_find_account(h, id);

	if (a && a->waiting)
		end_wait(h, a);
}

void quota_give_back(struct quota_host *h, uint32_t id, uint32_t count,
		     uint64_t token)
{
	struct quota_returned new = { id, count, token };

	if (!count || token >> QUOTA_STAMP_BITS != h->owner_number)
		return;
	for (guint i = 0; i < h->returned->len; i++) {
		struct quota_returned *r =
			&g_array_index(h->returned, struct quota_returned, i);

		if (r->account != id || r->token != token)
			continue;
		r->tokens += count;
		return;
	}
	if (h->returned->len < RETURNS_MAX)
		g_array_append_val(h->returned, new);
}

void quota_host_return(struct quota_host *h, uint32_t id, uint64_t token)
{
	quota_give_back(h, id, 1, token);
}

void quota_host_preview(const struct quota_host *h,
			const struct quota_limit *limit, uint64_t now_ms,
			struct quota_preview *out)
{
	const struct quota_account *known = quota_find_account(h, limit->id);
	struct quota_account a = { 0 };

	if (known)
		a = *known;
	a.limit = *limit;
	*out = (struct quota_preview){
		.owner = h->owner,
		.tokens = valid_tokens(&a, now_ms),
		.waiting = a.waiting,
		.own_tokens = own_level(h, &a, now_ms),
		.own_tokens_later = own_level(h, &a, now_ms + QUOTA_WAIT_MS),
		.retry_ms = a.retry_ms,
	};
	if ((!out->waiting && out->tokens) || out->own_tokens >= 1)
		out->outcome = QUOTA_ADMITTED;
	else if (out->own_tokens_later < 1 &&
		 (!out->owner || (out->waiting && out->retry_ms)))
		out->outcome = QUOTA_REFUSED;
	else
		out->outcome = QUOTA_UNDECIDED;
	if (!out->retry_ms)
		out->retry_ms = RETRY_DEFAULT_MS;
}
