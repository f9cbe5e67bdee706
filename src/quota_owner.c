/* Owner side of quotas: token buckets, and the shares lent by hosts. */
#include "fescue/quota.h"
#include "packet.h"

#include <string.h>

/*
 * Grants are remembered in slots for as long as they matter for a window, so
 * that returned ones can be taken out of the slot that they were granted in.
 */
#define SLOTS 58
/* For requests that wait unread at a busy host. */
#define DELAY_MARGIN_MS 100
#define PEER_IDLE_MS 60000
/* An older run of a host is ignored for this long after the newer one. */
#define OLD_RUN_MS 1000
/* By then the hosts know from the membership that this one left. */
#define STOP_CLOSED_MS 60000
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 2000
#define MS_PER_S 1000.0
#define CARRIED_UNIT 1000.0 /* tokens in carried rows are thousandths */

struct bucket {
	struct quota_bucket size;
	double level;
	double filled_at; /* lent_time up to which the level is filled */
	uint32_t granted[SLOTS]; /* ring: granted and not returned */
	uint64_t slot; /* number of the newest slot of granted */
	int listed; /* in the limits being set */
};

struct lender {
	uint64_t run;
	uint32_t sequence;
	uint32_t known;
	uint64_t lent_until_ms;
	uint64_t heard_ms;
};

struct quota_owner {
	struct quota_settings settings;
	uint64_t run;
	uint64_t start_ms;
	uint64_t last_ms; /* lent_time is counted up to */
	uint64_t swept_ms;
	double lent_time; /* integral of the lent fraction, in seconds */
	double fraction; /* of all shares, lent now */
	uint64_t slot_ms; /* length of a slot */
	uint64_t slot; /* number of the newest slot */
	double slot_end[SLOTS]; /* ring: lent_time at the end of the slot */
	double slot_fraction[SLOTS]; /* ring: least fraction in the slot */
	uint32_t known;
	int stopped;
	GHashTable *buckets; /* account id -> struct bucket */
	GHashTable *lenders; /* address -> struct lender */
};

struct quota_bucket quota_bucket_of(const struct quota_settings *settings,
				    const struct quota_limit *limit)
{
	double rate = limit->rate, burst = limit->burst;
	double window_s = settings->window_ms / MS_PER_S;
	double late_s =
		(QUOTA_TOKEN_MS + QUOTA_WAIT_MS + DELAY_MARGIN_MS) / MS_PER_S;
	double spare = settings->overage_ppm / 1e6 * (rate * window_s + burst) +
		       settings->slack - rate * late_s;

	if (spare < 0)
		return (struct quota_bucket){ rate, MAX(burst + spare, 1) };
	return (struct quota_bucket){ rate + spare / 2 / (window_s + late_s),
				      MAX(burst + spare / 2, 1) };
}

struct quota_owner *quota_owner_create(const struct quota_settings *settings,
				       uint64_t run, uint64_t now_ms)
{
	struct quota_owner *o = g_new0(struct quota_owner, 1);

	o->settings = *settings;
	o->run = run;
	o->start_ms = now_ms;
	o->last_ms = now_ms;
	o->slot_ms = (settings->window_ms + QUOTA_TOKEN_MS + QUOTA_WAIT_MS +
		      DELAY_MARGIN_MS) /
			     (SLOTS - 2) +
		     1;
	o->slot = now_ms / o->slot_ms;
	o->known = 1;
	o->buckets = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					   g_free);
	o->lenders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	return o;
}

void quota_owner_destroy(struct quota_owner *o)
{
	if (!o)
		return;
	g_hash_table_destroy(o->buckets);
	g_hash_table_destroy(o->lenders);
	g_free(o);
}

static gboolean is_unlisted(gpointer key, gpointer value, gpointer data)
{
	struct bucket *b = value;
	int listed = b->listed;

	(void)key;
	(void)data;
	b->listed = 0;
	return !listed;
}

void quota_owner_set_limits(struct quota_owner *o,
			    const struct quota_limit *limits, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		gpointer key = GUINT_TO_POINTER(limits[i].id);
		struct bucket *b = g_hash_table_lookup(o->buckets, key);

		if (!limits[i].rate)
			continue;
		if (!b) {
			b = g_new0(struct bucket, 1);
			b->filled_at = o->lent_time;
			g_hash_table_insert(o->buckets, key, b);
		}
		b->size = quota_bucket_of(&o->settings, &limits[i]);
		b->listed = 1;
	}
	g_hash_table_foreach_remove(o->buckets, is_unlisted, NULL);
}

void quota_owner_set_known(struct quota_owner *o, uint32_t known)
{
	o->known = MAX(known, 1);
}

void quota_owner_stop(struct quota_owner *o)
{
	o->stopped = 1;
}

/* Sums up the lenders; the highest number of known hosts counts. */
static uint32_t count_shares(const struct quota_owner *o, uint64_t now_ms,
			     uint32_t *known)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t shares = 0;

	*known = o->known;
	g_hash_table_iter_init(&iter, o->lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lender *l = value;

		if (now_ms >= l->lent_until_ms)
			continue;
		shares++;
		*known = MAX(*known, l->known);
	}
	return shares;
}

uint32_t quota_owner_shares(const struct quota_owner *o, uint64_t now_ms)
{
	uint32_t known;

	return count_shares(o, now_ms, &known);
}

static void update_fraction(struct quota_owner *o, uint64_t now_ms)
{
	uint32_t known, shares = count_shares(o, now_ms, &known);

	o->fraction = MIN((double)shares / known, 1);
}

/* Slots without a request get the values of now, which restore less. */
static void advance_slots(struct quota_owner *o, uint64_t now_ms)
{
	uint64_t slot = MAX(now_ms / o->slot_ms, o->slot);
	uint64_t first = MAX(o->slot, slot >= SLOTS ? slot - SLOTS : 0);
	double *least = &o->slot_fraction[o->slot % SLOTS];

	*least = MIN(*least, o->fraction);
	for (uint64_t i = first; i <= slot; i++) {
		o->slot_end[i % SLOTS] = o->lent_time;
		if (i > o->slot)
			o->slot_fraction[i % SLOTS] = o->fraction;
	}
	o->slot = slot;
}

/*
 * Counts the time since the last request. Shares that have run out meanwhile
 * count for none of it.
 */
static void advance(struct quota_owner *o, uint64_t now_ms)
{
	update_fraction(o, now_ms);
	if (now_ms > o->last_ms)
		o->lent_time +=
			(double)(now_ms - o->last_ms) / MS_PER_S * o->fraction;
	o->last_ms = MAX(o->last_ms, now_ms);
	advance_slots(o, now_ms);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return ((struct lender *)value)->heard_ms + PEER_IDLE_MS <
	       *(uint64_t *)data;
}

/* Returns the sender's record, or NULL if the request is out of date. */
static struct lender *find_lender(struct quota_owner *o, uint64_t from,
				  const Fescue__QuotaRequest *request,
				  uint64_t now_ms)
{
	struct lender *l = g_hash_table_lookup(o->lenders, &from);

	if (!l) {
		l = g_new0(struct lender, 1);
		l->run = request->run;
		g_hash_table_insert(o->lenders, g_memdup2(&from, sizeof(from)),
				    l);
	} else if (l->run != request->run) {
		if (request->run < l->run && now_ms < l->heard_ms + OLD_RUN_MS)
			return NULL;
		l->run = request->run;
	} else if ((int32_t)(request->sequence - l->sequence) <= 0) {
		return NULL;
	}
	l->sequence = request->sequence;
	l->heard_ms = now_ms;
	return l;
}

static void advance_granted(const struct quota_owner *o, struct bucket *b)
{
	uint64_t first = o->slot >= SLOTS ? o->slot - SLOTS : 0;

	for (uint64_t i = MAX(b->slot, first) + 1; i <= o->slot; i++)
		b->granted[i % SLOTS] = 0;
	b->slot = o->slot;
}

static void fill(const struct quota_owner *o, struct bucket *b)
{
	double added = (o->lent_time - b->filled_at) * b->size.rate;

	advance_granted(o, b);
	b->filled_at = o->lent_time;
	b->level = CLAMP(b->level + added, 0, b->size.depth * o->fraction);
}

/*
 * The level at which no window that began in any of the slots exceeds what the
 * bucket allows, by what was granted since then and not returned.
 */
static double restored_level(const struct quota_owner *o,
			     const struct bucket *b)
{
	double fraction = o->fraction, least = b->size.depth, granted = 0;

	for (uint64_t i = 0; i < SLOTS && i <= o->slot; i++) {
		size_t k = (o->slot - i) % SLOTS;

		granted += b->granted[k];
		fraction = MIN(fraction, o->slot_fraction[k]);
		least = MIN(least, b->size.depth * fraction - granted +
					   b->size.rate * (o->lent_time -
							   o->slot_end[k]));
	}
	return least;
}

static void take_back(const struct quota_owner *o,
		      const Fescue__QuotaReturn *returned, uint64_t stamp_ms)
{
	struct bucket *b = g_hash_table_lookup(
		o->buckets, GUINT_TO_POINTER(returned->account));
	uint64_t slot = (stamp_ms - returned->age_ms) / o->slot_ms;
	uint32_t *granted, count;

	if (!b || slot > o->slot || o->slot - slot >= SLOTS)
		return;
	fill(o, b);
	granted = &b->granted[slot % SLOTS];
	count = MIN(*granted, returned->tokens);
	*granted -= count;
	b->level = CLAMP(b->level + count, b->level,
			 MAX(restored_level(o, b), b->level));
}

static uint32_t grant(const struct quota_owner *o, struct bucket *b,
		      const Fescue__QuotaRow *row)
{
	uint32_t count = MIN((uint32_t)b->level, row->tokens);
	double spare = b->level - count - b->size.depth * o->fraction / 2;

	if (count == row->tokens && spare > 0)
		count += MIN((uint32_t)spare, row->ahead);
	b->level -= count;
	b->granted[o->slot % SLOTS] += count;
	return count;
}

static uint32_t retry_ms(const struct bucket *b, uint32_t missing)
{
	return (uint32_t)CLAMP(missing * MS_PER_S / b->size.rate, RETRY_MIN_MS,
			       RETRY_MAX_MS);
}

static Fescue__QuotaRow *add_row(Fescue__QuotaGrant *out, uint32_t account)
{
	Fescue__QuotaRow *row = g_new(Fescue__QuotaRow, 1);

	fescue__quota_row__init(row);
	row->account = account;
	out->rows[out->n_rows++] = row;
	return row;
}

static void reply_row(const struct quota_owner *o, const Fescue__QuotaRow *row,
		      Fescue__QuotaRow *out)
{
	struct bucket *b =
		g_hash_table_lookup(o->buckets, GUINT_TO_POINTER(row->account));

	if (!b) {
		out->retry_ms = RETRY_MAX_MS;
		return;
	}
	fill(o, b);
	out->tokens = grant(o, b, row);
	if (out->tokens < row->tokens)
		out->retry_ms = retry_ms(b, row->tokens - out->tokens);
}

static void reply_rows(const struct quota_owner *o,
		       const Fescue__QuotaRequest *request,
		       Fescue__QuotaGrant *out)
{
	out->rows = g_new(Fescue__QuotaRow *, QUOTA_ROWS_MAX);
	for (size_t i = 0; i < MIN(request->n_rows, QUOTA_ROWS_MAX); i++)
		reply_row(o, request->rows[i],
			  add_row(out, request->rows[i]->account));
}

static void take_back_all(const struct quota_owner *o,
			  const Fescue__QuotaRequest *request)
{
	for (size_t i = 0; i < request->n_returns; i++)
		take_back(o, request->returns[i], request->stamp_ms);
}

/* Gives a lender the tokens that its share has in the buckets. */
static void carry_out(const struct quota_owner *o, uint64_t now_ms,
		      Fescue__QuotaGrant *out)
{
	uint32_t shares = quota_owner_shares(o, now_ms);
	GHashTableIter iter;
	gpointer key, value;

	out->rows = g_new(Fescue__QuotaRow *, QUOTA_ROWS_MAX);
	g_hash_table_iter_init(&iter, o->buckets);
	while (out->n_rows < QUOTA_ROWS_MAX &&
	       g_hash_table_iter_next(&iter, &key, &value)) {
		struct bucket *b = value;
		Fescue__QuotaRow *row = add_row(out, GPOINTER_TO_UINT(key));

		fill(o, b);
		row->tokens = (uint32_t)(b->level / shares * CARRIED_UNIT);
		b->level -= b->level / shares;
	}
}

static void carry_in(const struct quota_owner *o,
		     const Fescue__QuotaRequest *request)
{
	for (size_t i = 0; i < request->n_carried; i++) {
		const Fescue__QuotaRow *row = request->carried[i];
		struct bucket *b = g_hash_table_lookup(
			o->buckets, GUINT_TO_POINTER(row->account));

		if (!b)
			continue;
		b->level += row->tokens / CARRIED_UNIT;
		fill(o, b);
	}
}

/* Time for which this host is no owner. */
static uint32_t closed_ms(const struct quota_owner *o, uint64_t now_ms)
{
	if (o->stopped)
		return STOP_CLOSED_MS;
	if (now_ms < o->start_ms + QUOTA_SETTLE_MS)
		return (uint32_t)(o->start_ms + QUOTA_SETTLE_MS - now_ms);
	return 0;
}

static void accept_share(struct quota_owner *o, struct lender *l,
			 const Fescue__QuotaRequest *request, uint64_t now_ms)
{
	l->lent_until_ms = request->stamp_ms + QUOTA_LEND_MS;
	l->known = request->known;
	update_fraction(o, now_ms);
	if (now_ms < l->lent_until_ms)
		carry_in(o, request);
}

Fescue__Packet *quota_owner_handle(struct quota_owner *o, uint64_t from,
				   const Fescue__QuotaRequest *request,
				   uint64_t now_ms)
{
	Fescue__Packet *packet;
	Fescue__QuotaGrant *out;
	struct lender *l;

	advance(o, now_ms);
	l = find_lender(o, from, request, now_ms);
	if (!l)
		return NULL;
	packet = packet_create(FESCUE__PACKET__BODY_QUOTA_GRANT);
	out = packet->quota_grant;
	out->sequence = request->sequence;
	out->run = o->run;
	out->stamp_ms = now_ms;
	out->closed_ms = closed_ms(o, now_ms);
	if (request->releases)
		out->closed_ms = MAX(out->closed_ms, 1);
	if (out->closed_ms) {
		if (now_ms < l->lent_until_ms)
			carry_out(o, now_ms, out);
		l->lent_until_ms = 0;
		update_fraction(o, now_ms);
	} else {
		if (request->lends && request->owner_run == o->run)
			accept_share(o, l, request, now_ms);
		if (request->owner_run == o->run)
			take_back_all(o, request);
		reply_rows(o, request, out);
	}
	if (now_ms > o->swept_ms + PEER_IDLE_MS) {
		o->swept_ms = now_ms;
		g_hash_table_foreach_remove(o->lenders, is_idle, &now_ms);
	}
	return packet;
}
