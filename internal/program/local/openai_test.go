package local

import (
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// Guards against responses, streams, model lists or errors that the published OpenAI client library cannot decode.
func TestOpenAIClientLibraryIsSupported(t *testing.T) {
	c := openai.NewClient(option.WithBaseURL("http://"+testSystem.Addresses()[0]+"/v1"), option.WithAPIKey(testSystem.Keys["survey"]))
	params := openai.ChatCompletionNewParams{
		Model:     "girth",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("is a girth of 140 cm plausible?")},
		MaxTokens: openai.Int(12),
		Seed:      openai.Int(5),
	}
	completion, err := c.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	require.EqualValues(t, 12, completion.Usage.CompletionTokens)

	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, completion.Choices[0].Message.Content, text.String(), "the same seed gives the same text")

	models, err := c.Models.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, "girth", models.Data[0].ID)

	_, err = c.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "none", Messages: params.Messages})
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "modelNotFound", apiErr.Code)
}
