/*
 * Host side of quotas: chooses the owner, lends it the host's share, and
 * exchanges requests and grants with it.
 */
#include "packet.h"
#include "quota_state.h"

#include <string.h>

#define RELEASE_RETRY_MS 100
/* An owner is left after so many requests without a reply. */
#define MISSED_REPLIES_MAX 4
#define CARRIED_MS 200
#define STAMP_MASK ((UINT64_C(1) << QUOTA_STAMP_BITS) - 1)
/* Between looks for a better owner, so that all hosts agree on one in the end. */
#define CHOOSE_MS 1000
/* By then the membership usually knows that the host is dead. */
#define OWNER_LOST_MS 4000
/* Of the mean demand; a token ahead is asked for if it is likely to be used. */
#define DEMAND_WEIGHT 0.25
#define AHEAD_MIN 0.4
#define MS_PER_S 1000.0

/* Credits are for the owner that granted them. */
static void forget_returned(struct quota_host *h)
{
	h->owner_number++;
	g_array_set_size(h->returned, 0);
}

/* Asks another host from now on. */
static void set_owner(struct quota_host *h, uint64_t owner)
{
	if (owner == h->owner)
		return;
	h->owner = owner;
	h->stamp_ms = 0;
	h->sent_ms = 0;
	memset(h->asks, 0, sizeof(h->asks));
	h->awaiting = 0;
	h->missed_replies = 0;
	forget_returned(h);
}

/* The best candidate that replies, or else the best one. */
static void choose_owner(struct quota_host *h, uint64_t now_ms)
{
	h->chosen_ms = now_ms;
	for (size_t i = 0; i < h->candidate_count; i++) {
		if (now_ms < h->candidates[i].lost_until_ms)
			continue;
		set_owner(h, h->candidates[i].address);
		return;
	}
	set_owner(h, h->candidate_count ? h->candidates[0].address : 0);
}

/* Asks the next candidate at once, but does not go round them without pause. */
static void leave_owner(struct quota_host *h, uint64_t now_ms, uint32_t lost_ms)
{
	for (size_t i = 0; i < h->candidate_count; i++)
		if (h->candidates[i].address == h->owner)
			h->candidates[i].lost_until_ms = now_ms + lost_ms;
	h->awaiting = 0;
	h->missed_replies = 0;
	choose_owner(h, now_ms);
	h->sent_ms = now_ms < h->left_ms + QUOTA_REQUEST_MIN_MS ? now_ms : 0;
	h->left_ms = now_ms;
}

void quota_host_set_candidates(struct quota_host *h, const uint64_t *candidates,
			       size_t count, uint32_t known, uint64_t now_ms)
{
	struct quota_candidate before[QUOTA_CANDIDATES];

	memcpy(before, h->candidates, sizeof(before));
	memset(h->candidates, 0, sizeof(h->candidates));
	h->known = MAX(known, 1);
	h->candidate_count = MIN(count, QUOTA_CANDIDATES);
	for (size_t i = 0; i < h->candidate_count; i++) {
		h->candidates[i].address = candidates[i];
		for (size_t k = 0; k < QUOTA_CANDIDATES; k++)
			if (before[k].address == candidates[i])
				h->candidates[i].lost_until_ms =
					before[k].lost_until_ms;
	}
	choose_owner(h, now_ms);
}

static uint64_t token_of(const struct quota_host *h, uint64_t stamp_ms)
{
	return (uint64_t)h->owner_number << QUOTA_STAMP_BITS | stamp_ms;
}

static void add_returns(struct quota_host *h, Fescue__QuotaRequest *request)
{
	request->returns = g_new(Fescue__QuotaReturn *, h->returned->len);
	for (guint i = 0; i < h->returned->len; i++) {
		const struct quota_returned *r =
			&g_array_index(h->returned, struct quota_returned, i);
		Fescue__QuotaReturn *out = g_new(Fescue__QuotaReturn, 1);

		fescue__quota_return__init(out);
		out->account = r->account;
		out->tokens = r->tokens;
		out->age_ms = (uint32_t)(h->stamp_ms - (r->token & STAMP_MASK));
		request->returns[request->n_returns++] = out;
	}
	g_array_set_size(h->returned, 0);
}

/* Tokens for requests that are likely to come while they are valid. */
static uint32_t tokens_ahead(const struct quota_account *a)
{
	double expected = a->demand * QUOTA_TOKEN_MS / MS_PER_S;

	return expected < AHEAD_MIN ? 0 : (uint32_t)(expected + 0.5);
}

static void update_demand(struct quota_account *a, uint64_t passed_ms)
{
	double rate = a->arrived * MS_PER_S / (double)MAX(passed_ms, 1);
	double weight = MIN(
		DEMAND_WEIGHT * (double)passed_ms / QUOTA_REQUEST_MAX_MS, 1);

	a->demand += (rate - a->demand) * weight;
	a->arrived = 0;
}

static void add_row(Fescue__QuotaRequest *request,
		    const struct quota_account *a)
{
	Fescue__QuotaRow *row = g_new(Fescue__QuotaRow, 1);

	fescue__quota_row__init(row);
	row->account = a->limit.id;
	row->tokens = a->waiting;
	row->ahead = tokens_ahead(a);
	request->rows[request->n_rows++] = row;
}

static void add_rows(struct quota_host *h, Fescue__QuotaRequest *request,
		     uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - h->sent_ms;
	GHashTableIter iter;
	gpointer value;

	request->rows = g_new(Fescue__QuotaRow *, QUOTA_ROWS_MAX);
	g_hash_table_iter_init(&iter, h->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_account *a = value;

		update_demand(a, passed_ms);
		if (request->n_rows < QUOTA_ROWS_MAX && a->waiting)
			add_row(request, a);
	}
}

static Fescue__Packet *create_request(const struct quota_host *h,
				      uint32_t sequence)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_QUOTA_REQUEST);

	packet->quota_request->sequence = sequence;
	packet->quota_request->run = h->run;
	packet->quota_request->known = h->known;
	return packet;
}

/* The share is lent again only when no other owner may use it. */
static int may_lend(const struct quota_host *h, uint64_t now_ms)
{
	return !h->stopped && h->stamp_ms && now_ms >= h->settled_ms &&
	       (h->lent_to == h->owner || now_ms >= h->lent_until_ms);
}

/* Tokens that were on the way for long may have been replaced by new ones. */
static void add_carried(struct quota_host *h, Fescue__QuotaRequest *request,
			uint64_t now_ms)
{
	if (now_ms > h->carried_ms + CARRIED_MS)
		h->carried_count = 0;
	request->carried = g_new(Fescue__QuotaRow *, h->carried_count);
	for (size_t i = 0; i < h->carried_count; i++) {
		Fescue__QuotaRow *row = g_new(Fescue__QuotaRow, 1);

		fescue__quota_row__init(row);
		row->account = h->carried[i].account;
		row->tokens = h->carried[i].thousandths;
		request->carried[request->n_carried++] = row;
	}
	h->carried_count = 0;
}

static void keep_carried(struct quota_host *h, const Fescue__QuotaGrant *grant,
			 uint64_t now_ms)
{
	h->carried_ms = now_ms;
	h->carried_count = MIN(grant->n_rows, QUOTA_ROWS_MAX);
	for (size_t i = 0; i < h->carried_count; i++)
		h->carried[i] =
			(struct quota_carried){ grant->rows[i]->account,
						grant->rows[i]->tokens };
}

/* The owner got its stamp before this host received it. */
static void lend(struct quota_host *h, Fescue__QuotaRequest *request,
		 uint64_t now_ms)
{
	uint64_t until_ms =
		h->stamp_received_ms + QUOTA_LEND_MS + QUOTA_LEND_MARGIN_MS;

	if (until_ms <= now_ms)
		return;
	request->lends = 1;
	h->lent_to = h->owner;
	h->lent_until_ms = MAX(h->lent_until_ms, until_ms);
	h->lending++;
	add_carried(h, request, now_ms);
}

static Fescue__Packet *ask_owner(struct quota_host *h, uint64_t now_ms)
{
	Fescue__Packet *packet = create_request(h, h->ask_sequence);
	Fescue__QuotaRequest *request = packet->quota_request;

	if (h->stamp_ms) {
		request->owner_run = h->owner_run;
		request->stamp_ms = h->stamp_ms;
		add_returns(h, request);
	}
	if (may_lend(h, now_ms))
		lend(h, request, now_ms);
	add_rows(h, request, now_ms);
	h->awaiting = 1;
	h->sent_ms = now_ms;
	h->asks[h->next_ask] = (struct quota_ask){ h->ask_sequence, now_ms };
	h->next_ask = (h->next_ask + 1) % QUOTA_ASKS;
	return packet;
}

static int must_release(const struct quota_host *h, uint64_t now_ms)
{
	return h->lent_to && now_ms < h->lent_until_ms &&
	       (h->lent_to != h->owner || h->stopped);
}

static uint64_t owner_due_ms(const struct quota_host *h)
{
	if (!h->owner)
		return UINT64_MAX;
	if (!h->sent_ms)
		return 0;
	if (h->awaiting)
		return h->sent_ms + QUOTA_REPLY_TIMEOUT_MS;
	return h->sent_ms +
	       (h->waiting ? QUOTA_REQUEST_MIN_MS : QUOTA_REQUEST_MAX_MS);
}

uint64_t quota_host_next_ms(const struct quota_host *h)
{
	uint64_t due_ms = owner_due_ms(h);

	if (h->lent_to && (h->lent_to != h->owner || h->stopped) &&
	    h->release_sent_ms < h->lent_until_ms)
		due_ms = MIN(due_ms, h->release_sent_ms + RELEASE_RETRY_MS);
	return due_ms;
}

Fescue__Packet *quota_host_poll(struct quota_host *h, uint64_t now_ms,
				uint64_t *to)
{
	Fescue__Packet *packet;

	if (now_ms >= h->lent_until_ms)
		h->lent_to = 0;
	if (now_ms >= h->chosen_ms + CHOOSE_MS)
		choose_owner(h, now_ms);
	if (must_release(h, now_ms) &&
	    now_ms >= h->release_sent_ms + RELEASE_RETRY_MS) {
		h->release_sent_ms = now_ms;
		h->release_sequence = ++h->sequence;
		packet = create_request(h, h->release_sequence);
		packet->quota_request->releases = 1;
		*to = h->lent_to;
		return packet;
	}
	if (now_ms < owner_due_ms(h))
		return NULL;
	if (h->awaiting && ++h->missed_replies >= MISSED_REPLIES_MAX) {
		leave_owner(h, now_ms, OWNER_LOST_MS);
		if (!h->owner || now_ms < owner_due_ms(h))
			return NULL;
	}
	*to = h->owner;
	h->ask_sequence = ++h->sequence;
	return ask_owner(h, now_ms);
}

static void receive_row(struct quota_host *h, const Fescue__QuotaRow *row,
			uint64_t asked_ms)
{
	struct quota_account *a = quota_find_account(h, row->account);

	if (!a)
		return;
	if (row->tokens) {
		/* Unused tokens of the batch before. */
		quota_give_back(h, row->account, a->tokens, a->token);
		a->tokens = row->tokens;
		a->born_ms = asked_ms;
		a->token = token_of(h, h->stamp_ms);
	}
	a->retry_ms = row->retry_ms;
}

/* A reply to an earlier request says nothing of a share lent since then. */
static int ends_lending(const struct quota_host *h, uint64_t from,
			const Fescue__QuotaGrant *grant)
{
	if (!grant->closed_ms || from != h->lent_to)
		return 0;
	return grant->sequence ==
	       (from == h->owner ? h->ask_sequence : h->release_sequence);
}

/* Returns when the request was sent, the first time that a reply comes; or 0 */
static uint64_t take_ask(struct quota_host *h, uint64_t from, uint32_t sequence)
{
	for (size_t i = 0; from == h->owner && i < QUOTA_ASKS; i++) {
		if (!sequence || h->asks[i].sequence != sequence)
			continue;
		h->asks[i].sequence = 0;
		return h->asks[i].sent_ms;
	}
	return 0;
}

void quota_host_receive(struct quota_host *h, uint64_t from,
			const Fescue__QuotaGrant *grant, uint64_t now_ms)
{
	uint64_t asked_ms;

	if (ends_lending(h, from, grant)) {
		h->lent_until_ms = now_ms;
		h->lent_to = 0;
		keep_carried(h, grant, now_ms);
	}
	asked_ms = take_ask(h, from, grant->sequence);
	if (!asked_ms)
		return;
	if (grant->sequence == h->ask_sequence)
		h->awaiting = 0;
	h->missed_replies = 0;
	if (grant->closed_ms) {
		leave_owner(h, now_ms, grant->closed_ms);
		return;
	}
	/* The share can be lent to a new owner now that its stamp is known. */
	if (!h->stamp_ms && now_ms >= h->lent_until_ms)
		h->sent_ms = 0;
	if (h->owner_run != grant->run)
		forget_returned(h);
	h->owner_run = grant->run;
	h->stamp_ms = grant->stamp_ms;
	h->stamp_received_ms = now_ms;
	for (size_t i = 0; i < grant->n_rows; i++)
		receive_row(h, grant->rows[i], asked_ms);
}
