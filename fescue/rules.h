/*
 * The operators' rules file: parsing and checking.
 *
 * One rule a line, closed by a comment that names who asked for it:
 *
 *   service NAME [deadline=MS] [queue=N] [reserve=PERCENT]
 *         [health=PATH] [connections=N]                      # who
 *   route METHOD HOST/PREFIX TARGET [class=urgent|background] [rank=N]
 *         [idempotent=yes|no] [deadline=MS] [latency=MS] [retries=N] # who
 *   limits [header=BYTES] [body=BYTES] [header-time=MS] [idle-time=MS] # who
 *
 * METHOD and HOST may be "*". TARGET is a service, or services with weights
 * that share the route's calls: NAME:WEIGHT,NAME:WEIGHT. Parsing is total:
 * any input yields either a rule set or a list of diagnostics, never both.
 */
#ifndef FESCUE_RULES_H
#define FESCUE_RULES_H

#include <stddef.h>
#include <stdint.h>

#define RULES_MAX_BYTES 998000
#define RULES_MAX_LINE_BYTES 1024
#define RULES_MAX_DIAGNOSTICS 100
#define RULES_NAME_MAX_BYTES 63
#define RULES_DEADLINE_MAX_MS 600000
#define RULES_DEADLINE_DEFAULT_MS 2000
#define RULES_QUEUE_MAX 10000
#define RULES_QUEUE_DEFAULT 32
#define RULES_RESERVE_DEFAULT_PERCENT 30
#define RULES_RETRIES_MAX 5
#define RULES_RETRIES_DEFAULT 1

#define RULES_RANK_MAX 99
#define RULES_RANK_LEVELS 4 /* told apart in queues; higher ones are one */
#define RULES_RANK_URGENT 1 /* of calls whose route names no rank */
#define RULES_RANK_BACKGROUND 5
#define RULES_PARTS_MAX 8
#define RULES_WEIGHT_MAX 1000000
#define RULES_CONNECTIONS_MAX 1000000
#define RULES_PATH_MAX_BYTES 127
#define RULES_HEADER_DEFAULT_BYTES 16384
#define RULES_BODY_DEFAULT_BYTES 67108864
#define RULES_HEADER_DEFAULT_MS 10000
#define RULES_IDLE_DEFAULT_MS 60000

/*
 * Times in a slot vary: of the calls that have this part of their kind's mean
 * left, most end in time.
 */
#define CALL_IN_TIME_FACTOR 1.5

enum call_class { CALL_CLASS_URGENT, CALL_CLASS_BACKGROUND, CALL_CLASS_COUNT };

/* What the file promises for the calls of one route. */
struct contract {
	enum call_class call_class;
	int idempotent;
	uint32_t deadline_ms;
	uint32_t retries; /* further attempts after the first */
	uint32_t rank; /* 0 is served first */
	uint32_t latency_ms; /* an answer is worth less later; 0: not told */
};

/* Limits every backend server of a service applies. */
struct service_rule {
	char name[RULES_NAME_MAX_BYTES + 1];
	uint32_t queue; /* calls that may wait for a slot, per class */
	uint32_t reserve_percent; /* slots kept free of background calls */
	uint32_t deadline_ms;
	uint32_t connections; /* to one backend server; 0: no limit */
	char health[RULES_PATH_MAX_BYTES + 1]; /* path; empty: none */
	uint32_t line;
};

/* A service that takes its weight's share of a route's calls. */
struct route_part {
	char service[RULES_NAME_MAX_BYTES + 1];
	uint32_t weight;
};

/* What a caller may send and how long it may take. */
struct limits_rule {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_ms; /* from a request's first byte to its last header */
	uint32_t idle_ms; /* between two requests of a connection */
	uint32_t line; /* 0: no such line, the defaults hold */
};

struct route_rule {
	char *method; /* "*" matches any */
	char *host; /* "*" matches any */
	char *prefix; /* starts with '/' */
	struct route_part parts[RULES_PARTS_MAX];
	uint32_t part_count; /* at least 1 */
	struct contract contract;
	uint32_t kind; /* identifies the route by method, host and prefix */
	uint32_t line;
	uint32_t service_column;
	int has_deadline;
	int has_rank;
};

/* One bad line: where, what was found, and the remedy. */
struct diagnostic {
	uint32_t line; /* 1-based; 0 for the file as a whole */
	uint32_t column; /* 1-based, in bytes */
	char what[192];
	char remedy[192];
};

struct rules;

/*
 * Parse size bytes of text. On success stores a new rule set in *out, owned
 * by the caller, and returns 0. Otherwise returns FESCUE_EINVAL or
 * FESCUE_ETOOBIG, sets *out to NULL and fills up to max diagnostics, their
 * number in *count. diagnostics may be NULL when max is 0.
 */
int rules_parse(const char *text, size_t size, struct rules **out,
		struct diagnostic *diagnostics, size_t max, size_t *count);

/* Free a rule set; NULL is allowed. */
void rules_destroy(struct rules *rules);

size_t rules_service_count(const struct rules *rules);
const struct service_rule *rules_service(const struct rules *rules, size_t i);
size_t rules_route_count(const struct rules *rules);

/* Routes are ordered: the first match of a call is the most specific. */
const struct route_rule *rules_route(const struct rules *rules, size_t i);

const struct limits_rule *rules_limits(const struct rules *rules);

/*
 * Does the route rule accept a call of this method and path, its host
 * matching? Strings need not end in NUL.
 */
int route_rule_matches(const struct route_rule *rule, const char *method,
		       size_t method_len, const char *path, size_t path_len);

/* Sum of the weights of the route's parts. */
uint32_t route_rule_weight(const struct route_rule *rule);

/*
 * The part that gets a call. drawn is a number below route_rule_weight();
 * drawn evenly, each part gets its weight's share.
 */
uint32_t route_rule_part(const struct route_rule *rule, uint32_t drawn);

/*
 * The number drawn for a request by its id. It stays the same while the route's
 * parts and weights do, on every node: operators can tell afterwards which part
 * a request was dealt to.
 */
uint32_t route_rule_draw(const struct route_rule *rule, const char *id,
			 size_t size);

const char *call_class_name(enum call_class call_class);

#endif
