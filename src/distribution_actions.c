/* Actions that a distribution queues for its owner, and the active text. */
#include "distribution_state.h"

#include <assert.h>

/* Take the parsed rules of a version; NULL unless it was validated last. */
static struct rules *take_parsed_rules(struct distribution *d, uint64_t version)
{
	if (d->parsed_version != version)
		return NULL;
	return g_steal_pointer(&d->parsed_rules);
}

void add_action(struct distribution *d, enum distribution_action_type type,
		uint64_t version)
{
	struct distribution_action *action =
		g_new0(struct distribution_action, 1);

	action->type = type;
	action->version = version;
	action->source = d->source;
	if (type == DISTRIBUTION_APPLY) {
		action->u.apply.text = active_text(d)->bytes;
		action->u.apply.size = active_text(d)->size;
		action->u.apply.hash = active_text(d)->hash;
		action->u.apply.rules = take_parsed_rules(d, version);
	} else if (type == DISTRIBUTION_REJECT) {
		action->u.reject = d->rejection;
	}
	g_queue_push_tail(&d->actions, action);
}

/* Remove APPLY actions from the queue: a newer version replaces them. */
static void drop_queued_applies(struct distribution *d)
{
	guint remaining = g_queue_get_length(&d->actions);

	while (remaining--) {
		struct distribution_action *action =
			g_queue_pop_head(&d->actions);

		if (action->type == DISTRIBUTION_APPLY) {
			rules_destroy(action->u.apply.rules);
			g_free(action);
		} else {
			g_queue_push_tail(&d->actions, action);
		}
	}
}

void apply_text(struct distribution *d, struct version_text *text)
{
	assert(text->version > active_text(d)->version);
	drop_queued_applies(d);
	version_history_push(&d->history, text);
	d->behind_since_ms = 0;
	add_action(d, DISTRIBUTION_APPLY, active_text(d)->version);
}

void apply_staged(struct distribution *d)
{
	if (d->staged.version)
		apply_text(d, &d->staged);
}
