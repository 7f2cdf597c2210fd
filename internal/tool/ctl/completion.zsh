# Completion of lycheectl for zsh: source <(lycheectl completion zsh), after compinit.
_lycheectl() {
    local -a items
    items=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,CURRENT]}")}")
    compadd -a items
}
compdef _lycheectl lycheectl
