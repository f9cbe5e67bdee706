/*
 * What the scripts of the second review share: a folder and a loopback network
 * of their own, the project's processes, instances as threads, and a client.
 */
#ifndef REVIEW_LAB_2_H
#define REVIEW_LAB_2_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_NODES 8
#define LAB_HEAD_BYTES 8192

enum lab_result { LAB_HELD, LAB_BROKEN, LAB_NOT_RUN };

struct lab_request {
	int fd;
	int node; /* whose instance got it */
	char method[16], path[256], id[64];
	char head[LAB_HEAD_BYTES];
	char *body;
	size_t body_size;
};

/* Answers a request. Returns 0 if the connection is to be closed. */
typedef int (*lab_handler)(struct lab_request *request);

struct lab_instance {
	int node;
	char id[64];
	char service[64];
	int slots;
	int64_t born;
	long long sequence;
	int is_draining;
	int stopped; /* sends no heartbeats and accepts no connection */
	lab_handler handler;
};

/* Settings of the nodes that a deployment may have or lack. */
struct lab_deployment {
	const char *more_settings; /* members of JSON, each with a comma */
	int grace_s;
	double link_mbps;
	int memory_mb;
};

/* Creates the folder and the network; FOLDER/record.txt is written. */
void lab_begin(const char *folder, const struct lab_deployment *deployment);

/* Ends all processes, says the result in the record, and exits. */
void lab_end(enum lab_result result, const char *text)
	__attribute__((noreturn));

/* Whether the disruption is to be made: not with TROUBLE=0. */
int lab_has_trouble(void);

void lab_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

int64_t lab_now_ms(void);
void lab_sleep_ms(int64_t ms);

void lab_start_store(void);
void lab_put(const char *key, const char *value);

/*
 * A store of the lab's own, in place of lab_start_store(), that can come back
 * from an older copy. It is written to without a call.
 */
void lab_store_serve(void);
long long lab_store_write(const char *key, const char *value);
long long lab_store_revision(void);
void lab_store_copy(void);
/* From then on calls get no answer, those under way included. */
void lab_store_leave(void);
void lab_store_return(int from_copy);
/* All leases end, and the keys that hang on them are removed. */
void lab_store_end_leases(void);

/* Nodes are numbered from 1. */
void lab_start_node(int node, const char *service, const char *zone);
void lab_signal_node(int node, int number);
/* Waits for the end of the process. */
void lab_wait_node(int node);
int lab_node_is_ready(int node);
void lab_wait_ready(int nodes);

/* An instance beside a node, with 18 slots. */
void lab_instance_init(struct lab_instance *instance, int node,
		       const char *service, lab_handler handler);

/* Serves at the node's address, and announces itself to the node. */
void lab_start_instance(struct lab_instance *instance);
/* Returns the status, or 0. state: NULL for DELETE. */
int lab_announce(struct lab_instance *instance, const char *state);

/* Sends a heartbeat of another writer, in which the member born is missing. */
int lab_announce_odd(const struct lab_instance *instance, long long sequence);

int lab_connect_client(int node);
int lab_send(int fd, const char *bytes, size_t size);
/* Sends a whole answer with the instance's signature. */
int lab_reply(const struct lab_request *request, int status,
	      const char *headers, const char *body, size_t size);

struct lab_answer {
	int status; /* 0: none */
	int is_signed;
	int is_whole;
	size_t body_size;
	char head[LAB_HEAD_BYTES];
};

/* Reads an answer; pace, if set, is asked before each read of some bytes. */
void lab_read_answer(int fd, int64_t deadline_ms, void (*pace)(size_t bytes),
		     struct lab_answer *answer);

/* Copies the value of a header; an empty one if there is none. */
void lab_header(const char *head, const char *name, char *out, size_t size);

#endif
