#include "support.h"

extern "C" {
#include "fescue/error.h"
#include "fescue/header_codec.h"
#include "packet.h"
}

namespace
{

using pairs = std::vector<std::pair<std::string, std::string>>;

Fescue__Packet *create_packet(const pairs &headers)
{
	Fescue__Packet *packet =
		packet_create(FESCUE__PACKET__BODY_CALL_REQUEST);
	Fescue__CallRequest *r = packet->call_request;

	r->headers = g_new(Fescue__Header *, headers.size() + 1);
	for (const auto &h : headers) {
		Fescue__Header *header = g_new(Fescue__Header, 1);

		fescue__header__init(header);
		packet_set_string(&header->name, h.first.c_str());
		packet_set_string(&header->value, h.second.c_str());
		r->headers[r->n_headers++] = header;
	}
	return packet;
}

struct codec {
	struct header_encoder *encoder = header_encoder_create();
	struct header_decoder *decoder = header_decoder_create();
	size_t packed_bytes = 0; /* of the last packet */

	~codec()
	{
		header_encoder_destroy(encoder);
		header_decoder_destroy(decoder);
	}
	pairs round_trip(const pairs &headers)
	{
		Fescue__Packet *packet = create_packet(headers);
		Fescue__CallRequest *r = packet->call_request;
		pairs out;

		header_encode(encoder, r->headers, r->n_headers);
		packed_bytes = fescue__packet__get_packed_size(packet);
		std::vector<uint8_t> wire(packed_bytes);
		fescue__packet__pack(packet, wire.data());
		packet_destroy(packet);
		packet = fescue__packet__unpack(nullptr, packed_bytes,
						wire.data());
		r = packet->call_request;
		EXPECT_EQ(header_decode(decoder, r->headers, r->n_headers),
			  FESCUE_OK);
		for (size_t i = 0; i < r->n_headers; i++)
			out.push_back(
				{ r->headers[i]->name, r->headers[i]->value });
		packet_destroy(packet);
		return out;
	}
};

TEST(header_codec, repeated_headers_are_compressed)
{
	codec c;
	pairs headers = { { "user-agent", "sdk-client/1.9.3" },
			  { "accept", "*/*" },
			  { "accept-encoding", "identity" } };

	EXPECT_EQ(c.round_trip(headers), headers);
	size_t first_bytes = c.packed_bytes;
	EXPECT_EQ(c.round_trip(headers), headers);
	EXPECT_EQ(c.round_trip(headers), headers);
	EXPECT_LT(c.packed_bytes, first_bytes / 3);
}

TEST(header_codec, repeated_names_with_new_values_are_compressed)
{
	codec c;

	for (int i = 0; i < 10; i++) {
		pairs headers = { { "x-a-rather-long-request-id",
				    std::to_string(1000 + i) } };

		EXPECT_EQ(c.round_trip(headers), headers);
	}
	EXPECT_LT(c.packed_bytes, 30u);
}

/* Headers are restored exactly, whether or not they are in the dictionary. */
TEST(header_codec, random_headers_round_trip)
{
	GRand *random = g_rand_new_with_seed(4);

	for (int run = 0; run < 20; run++) {
		codec c;

		for (int i = 0; i < 400; i++) {
			pairs headers;

			for (int n = g_rand_int_range(random, 0, 6); n; n--)
				headers.push_back(
					{ "n" + std::to_string(g_rand_int_range(
							random, 0, 40)),
					  std::string(g_rand_int_range(random,
								       0, 4),
						      'v') +
						  std::to_string(
							  g_rand_int_range(
								  random, 0,
								  60)) });
			ASSERT_EQ(c.round_trip(headers), headers);
		}
	}
	g_rand_free(random);
}

TEST(header_codec, unknown_numbers_are_rejected)
{
	codec c;
	Fescue__Packet *packet = create_packet({ { "", "" } });
	Fescue__Header *h = packet->call_request->headers[0];

	EXPECT_EQ(header_decode(c.decoder, &h, 1), FESCUE_EINVAL);
	h->pair_number = 7;
	EXPECT_EQ(header_decode(c.decoder, &h, 1), FESCUE_EINVAL);
	h->pair_number = 0;
	h->name_number = 1;
	EXPECT_EQ(header_decode(c.decoder, &h, 1), FESCUE_EINVAL);
	packet_destroy(packet);
}

} // namespace
