/*
 * metastore - stand-in for the metadata store of the users' platform
 *
 * Implements its published protocol: items with revisions, ranges, watches,
 * transactions and leases.
 * usage: standin-metastore IP PORT
 *
 * Faults, by GET: /fault?mode=up|down|slow|compact|lose|mute|copy|restore (slow:
 * as if over a link of 4 Mbit/s; lose: the next transaction takes effect without
 * a reply; mute: the watches that wait now get no response, and their
 * connections stay open; compact: the history so far is dropped; restore: the
 * state returns to that of the last copy, and the era rises). Revisions and
 * lease ids that were given out after the copy are given out again.
 * Operators write an item by POST /operator?key=K with the value as body, and
 * remove it by DELETE /operator?key=K.
 */
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define ITEMS 1024
#define LEASES 1024
#define SLOW_PART 32768 /* bytes of a body sent at once, if slow */
#define SLOW_PART_MS 60 /* pause before each */
#define MUTE_MS 30000 /* until the connection of a muted watch is closed */

struct item {
	char key[201];
	char *value; /* base64; null: removed */
	long long revision;
	long long created;
	long long lease;
};

struct lease {
	long long id;
	long long ttl_ms;
	long long until_ms;
};

/* All that a restore takes back to an earlier state. */
struct state {
	struct item items[ITEMS];
	int item_count;
	struct lease leases[LEASES];
	int lease_count;
	long long revision;
	long long next_lease;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct state current = { .revision = 10, .next_lease = 77000 };
static struct state copy;
static long long era = 1;
static long long compacted_before; /* revisions before it are dropped */
static int down;
static int lose_next_reply;
static int slow; /* bodies are sent in parts */
static int mute_count; /* times that the waiting watches were muted */

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static struct item *find_item(const char *key)
{
	int i;

	for (i = 0; i < current.item_count; i++)
		if (!strcmp(current.items[i].key, key))
			return &current.items[i];
	return NULL;
}

static void set_item(const char *key, const char *value, long long lease)
{
	struct item *item = find_item(key);

	if (!item && current.item_count < ITEMS) {
		item = &current.items[current.item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	if (!item)
		return;
	if (!item->value)
		item->created = current.revision;
	free(item->value);
	item->value = value ? strdup(value) : NULL;
	item->revision = current.revision;
	item->lease = lease;
}

static void expire_leases(void)
{
	int i;
	int j;

	for (i = 0; i < current.lease_count; i++) {
		if (!current.leases[i].id ||
		    now_ms() < current.leases[i].until_ms)
			continue;
		for (j = 0; j < current.item_count; j++)
			if (current.items[j].value &&
			    current.items[j].lease == current.leases[i].id) {
				current.revision++;
				set_item(current.items[j].key, NULL, 0);
			}
		current.leases[i].id = 0;
		pthread_cond_broadcast(&changed);
	}
}

static json_t *item_to_json(const struct item *item)
{
	if (!item->value)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "tombstone", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "createdRev", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static json_t *list_items(const char *prefix, long long after, int removed)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < current.item_count; i++)
		if (!strncmp(current.items[i].key, prefix, strlen(prefix)) &&
		    current.items[i].revision > after &&
		    (current.items[i].value || removed))
			json_array_append_new(list,
					      item_to_json(&current.items[i]));
	return list;
}

/* Sends the next part of a body as if over a slow link; ctx is the body. */
static ssize_t read_slowly(void *ctx, uint64_t at, char *buf, size_t max)
{
	struct timespec pause = { .tv_nsec = SLOW_PART_MS * 1000000L };
	size_t len = strlen(ctx) - at;

	len = len < max ? len : max;
	memcpy(buf, (char *)ctx + at, len);
	nanosleep(&pause, NULL);
	return (ssize_t)len;
}

static enum MHD_Result reply(struct MHD_Connection *conn, unsigned code,
			     json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	struct MHD_Response *response =
		slow ? MHD_create_response_from_callback(strlen(text),
							 SLOW_PART, read_slowly,
							 text, free) :
		       MHD_create_response_from_buffer(strlen(text), text,
						       MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;
	char era_text[24];

	json_decref(body);
	MHD_add_response_header(response, "Content-Type", "application/json");
	snprintf(era_text, sizeof(era_text), "%lld", era);
	MHD_add_response_header(response, "Store-Era", era_text);
	result = MHD_queue_response(conn, code, response);
	MHD_destroy_response(response);
	return result;
}

static const char *query(struct MHD_Connection *conn, const char *name)
{
	const char *value =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return value ? value : "";
}

/* -- request handlers, called with lock held ------------------------------ */

static enum MHD_Result get_range(struct MHD_Connection *conn)
{
	json_t *list = list_items(query(conn, "prefix"), 0, 0);

	return reply(conn, 200,
		     json_pack("{s:o,s:b,s:I}", "items", list, "truncated", 0,
			       "asOf", (json_int_t)current.revision));
}

/* Waits for a change, or 50 ms. */
static void wait_for_change(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += 50 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&changed, &lock, &ts);
}

static enum MHD_Result get_watch(struct MHD_Connection *conn)
{
	const char *prefix = query(conn, "prefix");
	long long after = atoll(query(conn, "after"));
	long long until = now_ms() + atoll(query(conn, "waitMs"));
	int muted_before = mute_count;
	json_t *list = NULL;

	if (after < compacted_before || after > current.revision)
		return reply(conn, 410, NULL);
	for (;;) {
		expire_leases();
		json_decref(list);
		list = list_items(prefix, after, 1);
		if (json_array_size(list) || now_ms() >= until || down)
			break;
		wait_for_change();
		if (mute_count == muted_before)
			continue;
		for (until += MUTE_MS; now_ms() < until;)
			wait_for_change();
	}
	if (down || mute_count > muted_before) {
		json_decref(list);
		return MHD_NO;
	}
	return reply(conn, 200,
		     json_pack("{s:o,s:I}", "events", list, "asOf",
			       (json_int_t)current.revision));
}

static struct lease *find_lease(long long id)
{
	int i;

	for (i = 0; i < current.lease_count; i++)
		if (id && current.leases[i].id == id)
			return &current.leases[i];
	return NULL;
}

static enum MHD_Result post_txn(struct MHD_Connection *conn, const char *body)
{
	json_t *root = json_loads(body, 0, NULL);
	json_t *put;
	size_t i;

	json_array_foreach(json_object_get(root, "puts"), i, put)
	{
		long long id =
			json_integer_value(json_object_get(put, "lease"));

		if (id && !find_lease(id)) {
			json_decref(root);
			return reply(conn, 404, NULL);
		}
	}
	current.revision++;
	json_array_foreach(json_object_get(root, "puts"), i, put)
		set_item(json_string_value(json_object_get(put, "key")),
			 json_string_value(json_object_get(put, "value")),
			 json_integer_value(json_object_get(put, "lease")));
	json_decref(root);
	pthread_cond_broadcast(&changed);
	if (lose_next_reply) {
		lose_next_reply = 0;
		return MHD_NO;
	}
	return reply(
		conn, 200,
		json_pack("{s:I}", "revision", (json_int_t)current.revision));
}

static enum MHD_Result post_lease(struct MHD_Connection *conn, const char *body)
{
	json_t *root = json_loads(body, 0, NULL);
	long long ttl = json_integer_value(json_object_get(root, "ttlMs"));
	struct lease *lease = &current.leases[current.lease_count++ % LEASES];

	json_decref(root);
	if (current.lease_count > LEASES)
		current.lease_count = LEASES;
	*lease = (struct lease){ ++current.next_lease, ttl, now_ms() + ttl };
	return reply(conn, 200,
		     json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id,
			       "ttlMs", (json_int_t)ttl));
}

static enum MHD_Result renew_or_end_lease(struct MHD_Connection *conn,
					  long long id, int end)
{
	struct lease *lease = find_lease(id);

	if (!lease)
		return reply(conn, 404, NULL);
	lease->until_ms = end ? 0 : now_ms() + lease->ttl_ms;
	expire_leases();
	return reply(conn, 200,
		     json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_ms));
}

static enum MHD_Result handle_operator(struct MHD_Connection *conn,
				       const char *method, const char *body)
{
	size_t size = sodium_base64_ENCODED_LEN(strlen(body),
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);

	current.revision++;
	sodium_bin2base64(text, size, (const unsigned char *)body, strlen(body),
			  sodium_base64_VARIANT_ORIGINAL);
	set_item(query(conn, "key"), strcmp(method, "DELETE") ? text : NULL, 0);
	free(text);
	pthread_cond_broadcast(&changed);
	return reply(conn, 200, NULL);
}

static void copy_state(struct state *to, const struct state *from)
{
	int i;

	for (i = 0; i < to->item_count; i++)
		free(to->items[i].value);
	*to = *from;
	for (i = 0; i < to->item_count; i++)
		if (to->items[i].value)
			to->items[i].value = strdup(to->items[i].value);
}

static void restore_copy(void)
{
	int i;

	copy_state(&current, &copy);
	for (i = 0; i < current.lease_count; i++)
		current.leases[i].until_ms =
			now_ms() + current.leases[i].ttl_ms;
	era++;
}

static enum MHD_Result set_fault(struct MHD_Connection *conn)
{
	const char *mode = query(conn, "mode");

	if (!strcmp(mode, "compact"))
		compacted_before = current.revision;
	else if (!strcmp(mode, "lose"))
		lose_next_reply = 1;
	else if (!strcmp(mode, "slow"))
		slow = 1;
	else if (!strcmp(mode, "mute"))
		mute_count++;
	else if (!strcmp(mode, "copy"))
		copy_state(&copy, &current);
	else if (!strcmp(mode, "restore"))
		restore_copy();
	else {
		down = !strcmp(mode, "down");
		slow = 0;
	}
	pthread_cond_broadcast(&changed);
	return reply(conn, 200, NULL);
}

static enum MHD_Result dispatch(struct MHD_Connection *conn, const char *url,
				const char *method, const char *body)
{
	if (!strcmp(url, "/fault"))
		return set_fault(conn);
	if (!strcmp(url, "/operator"))
		return handle_operator(conn, method, body);
	if (down)
		return MHD_NO;
	expire_leases();
	if (!strcmp(url, "/kv-range"))
		return get_range(conn);
	if (!strcmp(url, "/kv-watch"))
		return get_watch(conn);
	if (!strcmp(url, "/kv-txn"))
		return post_txn(conn, body);
	if (!strcmp(url, "/kv-lease"))
		return post_lease(conn, body);
	if (!strncmp(url, "/kv-keep/", 9))
		return renew_or_end_lease(conn, atoll(url + 9), 0);
	if (!strncmp(url, "/kv-lease-end/", 14))
		return renew_or_end_lease(conn, atoll(url + 14), 1);
	return reply(conn, 404, NULL);
}

struct request {
	char *body;
	size_t len;
};

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct request *request = *state;
	enum MHD_Result result;

	(void)ctx;
	(void)version;
	if (!request) {
		*state = calloc(1, sizeof(*request));
		((struct request *)*state)->body = calloc(1, 1);
		return MHD_YES;
	}
	if (*len) {
		request->body = realloc(request->body, request->len + *len + 1);
		memcpy(request->body + request->len, data, *len);
		request->len += *len;
		request->body[request->len] = '\0';
		*len = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&lock);
	result = dispatch(conn, url, method, request->body);
	pthread_mutex_unlock(&lock);
	return result;
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct request *request = *state;

	(void)ctx;
	(void)conn;
	(void)code;
	if (request)
		free(request->body);
	free(request);
	*state = NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct MHD_Daemon *daemon;

	if (argc != 3 || sodium_init() < 0 ||
	    inet_pton(AF_INET, argv[1], &addr.sin_addr) != 1)
		return 2;
	addr.sin_port = htons((uint16_t)atoi(argv[2]));
	daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_END);
	if (!daemon)
		return 1;
	for (;;)
		pause();
}
