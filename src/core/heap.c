#include "heap.h"
#include <glib.h>

static uint32_t *pos(const struct heap *h, void *item)
{
	return (uint32_t *)((char *)item + h->pos_off);
}

static void put(struct heap *h, uint32_t i, void *item)
{
	h->item[i] = item;
	*pos(h, item) = i;
}

static void up(struct heap *h, uint32_t i)
{
	void *item = h->item[i];

	while (i && h->before(item, h->item[(i - 1) / 2])) {
		put(h, i, h->item[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	put(h, i, item);
}

static void down(struct heap *h, uint32_t i)
{
	void *item = h->item[i];
	uint32_t k;

	for (;;) {
		k = 2 * i + 1;
		if (k >= h->n) break;
		if (k + 1 < h->n && h->before(h->item[k + 1], h->item[k])) k++;
		if (!h->before(h->item[k], item)) break;
		put(h, i, h->item[k]);
		i = k;
	}
	put(h, i, item);
}

void heap_init(struct heap *h, int (*before)(const void *, const void *), size_t pos_off)
{
	*h = (struct heap){.before = before, .pos_off = pos_off};
}

void heap_free(struct heap *h)
{
	g_free(h->item);
}

void heap_push(struct heap *h, void *item)
{
	if (h->n == h->cap) {
		h->cap = h->cap ? h->cap * 2 : 16;
		h->item = g_renew(void *, h->item, h->cap);
	}
	put(h, h->n, item);
	up(h, h->n++);
}

void heap_remove(struct heap *h, void *item)
{
	uint32_t i = *pos(h, item);
	void *last = h->item[--h->n];

	*pos(h, item) = HEAP_OUT;
	if (last == item) return;
	put(h, i, last);
	heap_move(h, last);
}

void heap_move(struct heap *h, void *item)
{
	up(h, *pos(h, item));
	down(h, *pos(h, item));
}

void *heap_top(const struct heap *h)
{
	return h->n ? h->item[0] : NULL;
}
