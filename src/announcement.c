#include "fescue/announcement.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

static int is_same_incarnation(const struct announcement *a,
			       const struct announcement *b)
{
	return !strcmp(a->id, b->id) && (a->started_ms == b->started_ms ||
					 !a->started_ms || !b->started_ms);
}

/* If two ids have the same start time, the heartbeat that came last is used. */
static int is_older(const struct announcement *a, const struct announcement *b)
{
	return a->started_ms && a->started_ms < b->started_ms;
}

uint64_t announcement_fingerprint(const struct announcement *announcement)
{
	const char *id = announcement->id;

	return *id ? XXH64(id, strlen(id), announcement->started_ms) : 0;
}

static int is_known_to_have_left(const struct announcement_record *record,
				 const struct announcement *announcement)
{
	uint64_t fingerprint = announcement_fingerprint(announcement);

	for (int i = 0; i < LEAVING_SOURCES; i++)
		if (fingerprint && record->left[i] == fingerprint)
			return 1;
	return 0;
}

void announcement_record_restore_leaving(struct announcement_record *record,
					 enum leaving_source source,
					 uint64_t left)
{
	record->left[source] = left;
	if (left && record->known &&
	    announcement_fingerprint(&record->current) == left)
		record->leaving = 1;
}

void announcement_record_want_repeats(struct announcement_record *record,
				      int wants_repeats)
{
	record->wants_repeats = wants_repeats;
	if (!wants_repeats)
		record->repeats_due = 0;
}

/* Without an id and a number, a leaving is not remembered either. */
static uint32_t repeats_wanted(const struct announcement_record *record,
			       const struct announcement *announcement)
{
	return record->wants_repeats && *announcement->id &&
			       announcement->sequence ?
		       ANNOUNCEMENT_REPEATS :
		       0;
}

enum announcement_result
announcement_record_update(struct announcement_record *record,
			   const struct announcement *announcement)
{
	const struct announcement *current = &record->current;

	if (record->known && is_same_incarnation(announcement, current)) {
		if (announcement->sequence &&
		    announcement->sequence <= current->sequence)
			return ANNOUNCEMENT_STALE;
		/* Without a sequence number, the last heartbeat counts. */
		if (!announcement->sequence)
			record->leaving = 0;
		record->leaving |= announcement->leaving;
		record->current = *announcement;
		if (record->repeats_due)
			record->repeats_due--;
		return ANNOUNCEMENT_RENEWED;
	}
	if (record->known && is_older(announcement, current))
		return ANNOUNCEMENT_STALE;
	record->current = *announcement;
	record->known = 1;
	record->repeats_due = repeats_wanted(record, announcement);
	record->leaving = announcement->leaving ||
			  is_known_to_have_left(record, announcement);
	return ANNOUNCEMENT_NEW;
}

int announcement_record_end(struct announcement_record *record, const char *id)
{
	if (!record->known) {
		/* Late heartbeats of it must not revoke the end. */
		g_strlcpy(record->current.id, id, sizeof(record->current.id));
		record->known = 1;
		record->leaving = 1;
		return 0;
	}
	if (strcmp(record->current.id, id))
		return 0;
	record->leaving = 1;
	return 1;
}
