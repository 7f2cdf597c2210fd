# Completion of lycheectl for bash: source <(lycheectl completion bash)
_lycheectl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
    return 0
}
complete -o default -F _lycheectl lycheectl
